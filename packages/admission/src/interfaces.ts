import type * as protocol from '@camphorwharf/protocol';

/** Properties of a call that admission depends on. */
export interface AdmissionCall {
  readonly requestId: string;
  /** Null on open routes; calls without an organisation form one share. */
  readonly organisation: string | null;
  /** Weight in the fair queue: the organisation's contractual rate. */
  readonly weight: number;
  readonly importance: protocol.ImportanceClass;
  readonly rank: number;
  /** Deadline on the monotonic clock. */
  readonly deadlineMs: number;
}

/** Handle of a queued or running call. */
export interface AdmissionTicket {
  readonly call: AdmissionCall;
}

/** Outcome of a queued call. */
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

/** Result of a started call. */
export type AdmissionResult =
  'succeeded' | 'failed' | 'overloaded' | 'cancelled';

export interface AdmissionLimits {
  readonly maximumConcurrency: number;
  readonly maximumQueue: number;
}

/** Admission control of one target (design section 4.2). */
export interface AdmissionController {
  setLimits(limits: AdmissionLimits): void;
  /** Offers a call. `events` lists other calls that this offer displaced. */
  offer(
    call: AdmissionCall,
    nowMs: number,
  ): {
    readonly verdict: AdmissionVerdict;
    readonly events: readonly AdmissionEvent[];
  };
  /** Ends a started call; returns queued calls that start or are refused. */
  finish(
    ticket: AdmissionTicket,
    result: AdmissionResult,
    serviceTimeMs: number,
    nowMs: number,
  ): readonly AdmissionEvent[];
  /** Removes a queued call whose caller has disconnected. */
  abandon(ticket: AdmissionTicket, nowMs: number): void;
  /**
   * Checks deadlines and sojourn times and updates the limit. Must be called
   * every 50 ms.
   */
  tick(nowMs: number): readonly AdmissionEvent[];
  /**
   * Takes in the load that the backend server reports. The report is not
   * trusted to be accurate.
   */
  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void;
  /**
   * Restarts the initial ramp of the limit, for example after the target has
   * restarted.
   */
  beginColdStart(nowMs: number): void;
  /**
   * The shedding threshold to attach to responses; null while nothing is shed.
   */
  threshold(nowMs: number): protocol.SheddingThreshold | null;
  readonly concurrencyLimit: number;
  readonly inFlight: number;
  readonly waiting: number;
}

/** Shedding thresholds received from targets, on the sender's side. */
export interface ThresholdTable {
  update(
    target: string,
    threshold: protocol.SheddingThreshold | null,
    nowMs: number,
  ): void;
  /** Returns false if an unexpired threshold refuses the call. */
  passes(
    target: string,
    call: Pick<protocol.CallContext, 'importance' | 'rank'>,
    nowMs: number,
  ): boolean;
}

/** Retry budget of one request at one hop (design section 4.1). */
export interface RetryBudget {
  readonly remaining: number;
  /** Consumes one retry at this hop; returns false if none is left. */
  trySpend(): boolean;
  /**
   * Lends a share of the budget to a child call. Concurrent children divide the
   * rest.
   */
  lendShare(): number;
  /** Returns the retries that a completed child call did not use. */
  returnUnspent(unspent: number): void;
}

/** Limits retries towards one service to a fraction of its first attempts. */
export interface RetryRatio {
  noteFirstAttempt(nowMs: number): void;
  tryRetry(nowMs: number): boolean;
}
