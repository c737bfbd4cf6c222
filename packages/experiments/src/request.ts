import type * as protocol from '@camphorwharf/protocol';

/** A request of a caller, with its counters. */
export interface Request {
  readonly requestId: string;
  readonly organisation: string;
  readonly weight: number;
  readonly importance: protocol.ImportanceClass;
  readonly rank: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Retries at any hop of the chain. */
  retries: number;
  /** Runs at the last service of the chain. */
  runs: number;
}

/** Outcome of a hop, as seen by the hop above. */
export type HopOutcome =
  | {readonly kind: 'completed'}
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      /** Whether the hop directly above may try another target. */
      readonly retryable: boolean;
    }
  /** The call ran at least partly and did not complete. */
  | {readonly kind: 'failed'};
