/** Refusals after which a call is given up. */
const MAXIMUM_REFUSALS = 3;

/**
 * The same for a late call of a run. With an acceptance of 0.45, nine attempts
 * succeed with a probability of 0.995, three with 0.83.
 */
const MAXIMUM_LATE_REFUSALS = 9;

/** A call is late if it completes at least this fraction of its run. */
const LATE_PROGRESS = 0.75;

/** Progress of a call whose run is not known. */
const UNKNOWN_PROGRESS = 0.5;

/**
 * Maximum time for which a late call waits for a retry, and the same as a
 * fraction of its remaining time. Its server keeps a slot for the run meanwhile.
 */
const MAXIMUM_WAIT_MS = 500;
const MAXIMUM_WAIT_SHARE = 0.3;

/** What is known of the run that makes a call. */
export interface RunProgress {
  /** Calls that the run has completed. */
  readonly completedCalls: number;
  /** Calls that a run of its route makes on average. */
  readonly expectedCalls: number;
}

/** The retries of a service that this host may make. */
export interface RetryTokens {
  refusalTokens(nowMs: number): number;
  tryRefusalRetry(nowMs: number): boolean;
}

export type RetryVerdict = 'retry' | 'wait' | 'giveUp';

export interface RefusedCall {
  /** Null if the run that makes the call is not known. */
  readonly run: RunProgress | null;
  /** Number of refusals of this call so far. */
  readonly refusals: number;
  readonly deadlineMs: number;
}

interface WaitingCall<Ticket> {
  readonly ticket: Ticket;
  readonly progress: number;
  readonly untilMs: number;
}

/**
 * Returns the fraction of a run that is complete after a call: 1 for its last
 * one. A run beyond its expected calls is close to its end.
 */
export function progressAfter(run: RunProgress | null): number {
  if (run === null) return UNKNOWN_PROGRESS;
  const calls = run.completedCalls + 1;
  return calls / Math.max(run.expectedCalls, calls);
}

/**
 * Gives the retries that the budget allows to the refused calls of the runs
 * that have completed most. Late calls wait for a retry, in the order of their
 * progress, because the budget holds too few of them to keep some for later.
 * Others get one only if none waits and the budget is well filled.
 */
export class RetryPrecedence<Ticket> {
  /** Sorted by descending progress, then by arrival. */
  private waiting: Array<WaitingCall<Ticket>> = [];

  constructor(private readonly budget: RetryTokens) {}

  get waitingCount(): number {
    return this.waiting.length;
  }

  offer(ticket: Ticket, call: RefusedCall, nowMs: number): RetryVerdict {
    const progress = progressAfter(call.run);
    const isLate = progress >= LATE_PROGRESS;
    const limit = isLate ? MAXIMUM_LATE_REFUSALS : MAXIMUM_REFUSALS;
    if (call.refusals >= limit) return 'giveUp';
    const tokens = this.budget.refusalTokens(nowMs);
    if (this.waiting.length === 0 && (isLate || tokens >= 2 - progress)) {
      if (this.budget.tryRefusalRetry(nowMs)) return 'retry';
    }
    if (!isLate) return 'giveUp';
    const remainingMs = call.deadlineMs - nowMs;
    const waitMs = Math.min(MAXIMUM_WAIT_MS, remainingMs * MAXIMUM_WAIT_SHARE);
    const position = this.waiting.findIndex(other => other.progress < progress);
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, {
      ticket,
      progress,
      untilMs: nowMs + waitMs,
    });
    return 'wait';
  }

  /** Returns the waiting calls that are retried now, and those given up. */
  advance(nowMs: number): {
    readonly retried: readonly Ticket[];
    readonly givenUp: readonly Ticket[];
  } {
    if (this.waiting.length === 0) return {retried: [], givenUp: []};
    const retried: Ticket[] = [];
    const givenUp: Ticket[] = [];
    const left: Array<WaitingCall<Ticket>> = [];
    for (const call of this.waiting) {
      if (call.untilMs <= nowMs) givenUp.push(call.ticket);
      else if (left.length === 0 && this.budget.tryRefusalRetry(nowMs)) {
        retried.push(call.ticket);
      } else left.push(call);
    }
    this.waiting = left;
    return {retried, givenUp};
  }

  /** Removes a waiting call whose client has left. */
  abandon(ticket: Ticket): void {
    this.waiting = this.waiting.filter(call => call.ticket !== ticket);
  }
}
