import type * as protocol from '@camphorwharf/protocol';

/** A call for the local backend server. */
export interface TargetCall {
  readonly method: string;
  readonly path: string;
  /** Without headers of the hop and without those that the dialect sets. */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  readonly contentLength: number | null;
  readonly requestId: string;
  readonly instance: string;
  readonly callerService: string;
  readonly organisation: string | null;
  /** 0 is the most important; see request-priority.ts. */
  readonly priority: number;
  readonly nested: boolean;
  readonly idempotent: boolean;
  readonly remainingMs: number;
  readonly objectiveMs: number;
}

export type CallResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
      /** The backend server that answered; named for failures alone. */
      readonly instance?: string;
    }
  /** The call has not run and never will. */
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly retryAfterMs: number;
      /** Whether the backend server itself refused it. */
      readonly byServer: boolean;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: protocol.UnknownReasonName;
      /** The backend server to which the call was sent last. */
      readonly instance?: string;
    };

/**
 * A call that has not run and never will. `retryAfterMs` is in milliseconds;
 * with 0 its caller may come back at once.
 */
export function refusedResult(
  reason: protocol.RefusalReasonName,
  retryAfterMs = 0,
  byServer = false,
): CallResult & {kind: 'refused'} {
  return {kind: 'refused', reason, retryAfterMs, byServer};
}
