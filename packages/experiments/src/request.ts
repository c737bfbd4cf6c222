import type * as protocol from '@camphorwharf/protocol';

/** One send of a caller and what is counted about it. */
export interface Request {
  readonly requestId: string;
  readonly organisation: string;
  readonly weight: number;
  readonly importance: protocol.ImportanceClass;
  readonly rank: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Sends beyond the first, at any hop of the chain. */
  retries: number;
  /** Runs at the last service of the chain. */
  runs: number;
}

/** How a hop ended, as the hop above sees it. */
export type HopOutcome =
  | {readonly kind: 'completed'}
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      /** Whether the hop directly above may try another target. */
      readonly retryable: boolean;
    }
  /** The call ran, at least in part, and did not complete. */
  | {readonly kind: 'failed'};
