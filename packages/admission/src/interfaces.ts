import type * as protocol from '@camphorwharf/protocol';

/** What admission needs to know of a call. */
export interface AdmissionCall {
  readonly requestId: string;
  /** Null on open routes; such calls share one part of the target. */
  readonly organisation: string | null;
  /** The organisation's agreed rate, its weight in the fair queue. */
  readonly weight: number;
  readonly importance: protocol.ImportanceClass;
  readonly rank: number;
  /** Monotonic instant of the deadline. */
  readonly deadlineMs: number;
}

/** One admitted or waiting call. */
export interface AdmissionTicket {
  readonly call: AdmissionCall;
}

/** Tells a waiting call what became of it. */
export type AdmissionEvent =
  | {readonly kind: 'start'; readonly ticket: AdmissionTicket}
  | {
      readonly kind: 'refuse';
      readonly ticket: AdmissionTicket;
      readonly reason: protocol.RefusalReasonName;
    };

export type AdmissionVerdict =
  | {readonly kind: 'start'; readonly ticket: AdmissionTicket}
  | {readonly kind: 'wait'; readonly ticket: AdmissionTicket}
  | {readonly kind: 'refuse'; readonly reason: protocol.RefusalReasonName};

/** How a started call ended. */
export type AdmissionResult =
  'succeeded' | 'failed' | 'overloaded' | 'cancelled';

export interface AdmissionLimits {
  readonly maximumConcurrency: number;
  readonly maximumQueue: number;
}

/** Admission of one target (design section 4.2). */
export interface AdmissionController {
  setLimits(limits: AdmissionLimits): void;
  /** `events` also names other calls that this offer displaced. */
  offer(
    call: AdmissionCall,
    nowMs: number,
  ): {
    readonly verdict: AdmissionVerdict;
    readonly events: readonly AdmissionEvent[];
  };
  /** Ends a started call; returns waiting calls that start or are refused. */
  finish(
    ticket: AdmissionTicket,
    result: AdmissionResult,
    serviceTimeMs: number,
    nowMs: number,
  ): readonly AdmissionEvent[];
  /** The caller of a waiting call went away. */
  abandon(ticket: AdmissionTicket, nowMs: number): void;
  /** Called every 50 ms: deadlines, sojourn times, recovery of the limit. */
  tick(nowMs: number): readonly AdmissionEvent[];
  /** A hint from the load report of the backend server; may lie. */
  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void;
  /** Restarts the cold-start ramp, for example after a restart. */
  beginColdStart(nowMs: number): void;
  /** The threshold to put on answers; null while nothing is shed. */
  threshold(nowMs: number): protocol.SheddingThreshold | null;
  readonly concurrencyLimit: number;
  readonly inFlight: number;
  readonly waiting: number;
}

/** Sender side: the thresholds that targets sent back. */
export interface ThresholdTable {
  learn(
    target: string,
    threshold: protocol.SheddingThreshold | null,
    nowMs: number,
  ): void;
  /** False when a threshold that has not expired refuses the call. */
  passes(
    target: string,
    call: Pick<protocol.CallContext, 'importance' | 'rank'>,
    nowMs: number,
  ): boolean;
}

/** Retry budget of one request at one hop (design section 4.1). */
export interface RetryBudget {
  readonly left: number;
  /** Takes one retry for this hop's own use; false when none is left. */
  takeOne(): boolean;
  /** Takes the share of a child call; concurrent children divide the rest. */
  takeShare(): number;
  /** A child call ended and returned what it did not spend. */
  giveBack(unspent: number): void;
}

/** Caps retries towards one service as a part of its first attempts. */
export interface RetryRatio {
  noteFirstAttempt(nowMs: number): void;
  tryRetry(nowMs: number): boolean;
}
