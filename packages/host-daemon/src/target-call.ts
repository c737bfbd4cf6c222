import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as transport from '@camphorwharf/transport';

/** A call to the local backend server. */
export interface TargetCall {
  readonly method: string;
  readonly path: string;
  /** Without hop-by-hop headers and the headers that the binding sets. */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  readonly contentLength: number | null;
  readonly requestId: string;
  /** 1 for the first attempt; distinguishes the attempts of one request. */
  readonly attempt: number;
  readonly instance: string;
  readonly callerService: string;
  readonly organisation: string | null;
  /** 0 is the highest priority; see request-priority.ts. */
  readonly priority: number;
  /** See `RoutedRequest.nested`. */
  readonly nested: boolean;
  readonly idempotent: boolean;
  readonly remainingMs: number;
  /** Latency objective of the route. */
  readonly objectiveMs: number;
}

export type CallResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
      /** The backend server that answered; set only for failures. */
      readonly instance?: string;
      /** Run time in milliseconds, if the call had to wait before it. */
      readonly runMs?: number;
      /**
       * The service that refused a nested call, if the call failed because of
       * it.
       */
      readonly refusedBy?: string | undefined;
    }
  /** The call has not run and never will. */
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly retryAfterMs: number;
      /** Whether the backend server itself refused the call. */
      readonly byServer: boolean;
      /** Whether it was refused before it was sent to any target. */
      readonly isAtEntry?: boolean;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: protocol.UnknownReasonName;
      /** The backend server to which the call was last sent. */
      readonly instance?: string;
      /** Whether the streamed body of the request failed; not sent to peers. */
      readonly hasBodyFailed?: boolean;
    };

/**
 * Returns the name of the route of a call; null if this host does not know it,
 * for example because its configuration differs from that of the sender.
 */
export function routeName(
  index: Pick<routing.ConfigurationIndex, 'matchRoute'> | null,
  call: Pick<TargetCall, 'headers' | 'path'>,
): string | null {
  const host = transport.headerValue(call.headers, 'host') ?? '';
  return index?.matchRoute(host, call.path)?.name ?? null;
}

/**
 * Creates the result of a call that has not run and never will. With a
 * `retryAfterMs` of 0 the caller may retry immediately.
 */
export function refusedResult(
  reason: protocol.RefusalReasonName,
  retryAfterMs = 0,
  byServer = false,
): CallResult & {kind: 'refused'} {
  return {kind: 'refused', reason, retryAfterMs, byServer};
}
