import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';

/** A request that has a route, a key check behind it, and a deadline. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly method: string;
  /** In origin form: path and query, as the client sent it. */
  readonly path: string;
  /** Without headers of the hop, without the key and without own headers. */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  readonly contentLength: number | null;
  readonly route: routing.Route;
  readonly service: string;
  readonly organisation: routing.Organisation | null;
  readonly nested: boolean;
  /** 0 is the most important; see request-priority.ts. */
  readonly priority: number;
  /** Monotonic time by which the final answer leaves. */
  readonly deadlineMs: number;
  readonly arrivedMs: number;
  /** Aborted when the client has gone. */
  readonly signal: runtime.CancelSignal;
}
