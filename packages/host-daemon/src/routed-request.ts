import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';

/** A request with a route, a checked API key and a deadline. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly method: string;
  /** In origin form: path and query as sent by the client. */
  readonly path: string;
  /**
   * Without hop-by-hop headers, the key and the headers the daemon sets itself.
   */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  readonly contentLength: number | null;
  readonly route: routing.Route;
  readonly service: string;
  readonly organisation: routing.Organisation | null;
  /**
   * Whether a backend server is taken to have sent the request: it has no key,
   * and its route is public.
   */
  readonly nested: boolean;
  /** 0 is the highest priority; see request-priority.ts. */
  readonly priority: number;
  /** Monotonic time by which the response must be sent. */
  readonly deadlineMs: number;
  /**
   * The same without the timeout of the route: of a nested request, the deadline
   * of the run that makes it.
   */
  readonly clientDeadlineMs?: number;
  readonly arrivedMs: number;
  /** Aborted when the client has disconnected. */
  readonly signal: runtime.CancelSignal;
  /** Position of its response on the connection of the client. */
  readonly turn?: transport.ResponseTurn | undefined;
}
