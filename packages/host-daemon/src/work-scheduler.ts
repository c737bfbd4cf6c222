import type * as runtime from '@camphorwharf/runtime';

/**
 * Maximum time in milliseconds for which work may start before the sockets are
 * polled again, so that disconnects are noticed early.
 */
const MAXIMUM_TURN_MS = 20;

/**
 * Maximum number of starts in one event loop iteration. If more were requested
 * in the previous iteration, that number applies, so that starts keep up with
 * the input.
 */
const STARTS_PER_TURN = 32;

/**
 * Number of polls before queued work starts. The end of a connection is
 * returned by the poll after the one that returns its last data.
 */
const POLLS_BEFORE_START = 2;

/** Whether requested work may start. */
export type ScheduleOutcome = 'start' | 'cancelled' | 'deadlineExpired';

export interface WorkSchedulerOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Whether this process has had unread input for some time. */
  readonly isLagging: () => boolean;
}

/** Stage of a request at which work is about to start. */
export type WorkStage = 'entry' | 'target' | 'slot' | 'retry';

interface QueuedWork {
  readonly sinceMs: number;
  readonly sincePoll: number;
  readonly resolve: () => void;
}

/**
 * Schedules every piece of work immediately before it starts: a request at its
 * entry, a call at its target, a call that has waited for a slot, a retry.
 * Under load, work starts in short turns and the sockets are polled between
 * them, so that disconnected callers are noticed. Otherwise all input of a long
 * event loop iteration would be processed in order of arrival, including that
 * of callers that have left.
 */
export class WorkScheduler {
  private queued: QueuedWork[] = [];
  /**
   * Work that may start as soon as a poll could have returned the end of its
   * connection.
   */
  private unpolled: QueuedWork[] = [];
  private pollCount = 0;
  private requestedInTurn = 0;
  private startsInTurn = 0;
  private turnStartedMs: number | null = null;

  constructor(private readonly options: WorkSchedulerOptions) {}

  /** How long the oldest queued work has waited, in milliseconds. */
  queueDelayMs(nowMs: number): number {
    return this.queued.length === 0 ? 0 : nowMs - this.queued[0].sinceMs;
  }

  /**
   * Resolves when the work may start or is no longer needed.
   * `mayHaveDisconnected` means that the caller may have left before its
   * request could be read, even if this process is not lagging.
   */
  async schedule(
    stage: WorkStage,
    signal: runtime.CancelSignal,
    deadlineMs: number,
    mayHaveDisconnected = false,
  ): Promise<ScheduleOutcome> {
    // Lets a cancellation that was read together with the call run first.
    await Promise.resolve();
    this.requestedInTurn++;
    const mayStart = this.tryStart();
    if (!mayStart || mayHaveDisconnected) {
      const queue = mayStart ? this.unpolled : this.queued;
      await new Promise<void>(resolve => {
        queue.push({
          sinceMs: this.options.clock.monotonicMs(),
          sincePoll: this.pollCount,
          resolve,
        });
      });
    }
    const outcome = this.outcome(signal, deadlineMs);
    if (outcome !== 'start') {
      this.options.metrics.count(
        'starts_dropped_total',
        'Work that did not begin because nobody waited for it any more, by ' +
          'place and reason.',
        {place: stage, reason: outcome},
      );
    }
    return outcome;
  }

  private outcome(
    signal: runtime.CancelSignal,
    deadlineMs: number,
  ): ScheduleOutcome {
    if (signal.aborted) return 'cancelled';
    return this.options.clock.monotonicMs() >= deadlineMs
      ? 'deadlineExpired'
      : 'start';
  }

  /** Returns whether the work may start in this turn, and counts it if so. */
  private tryStart(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (this.turnStartedMs === null) {
      this.turnStartedMs = nowMs;
      setImmediate(() => this.endTurn());
    }
    if (
      this.queued.length > 0 ||
      this.startsInTurn >= STARTS_PER_TURN ||
      nowMs - this.turnStartedMs >= MAXIMUM_TURN_MS ||
      this.options.isLagging()
    ) {
      return false;
    }
    this.startsInTurn++;
    return true;
  }

  /** Runs after each poll of the sockets; starts queued work that is ready. */
  private endTurn(): void {
    this.pollCount++;
    const limit = Math.max(STARTS_PER_TURN, this.requestedInTurn);
    this.requestedInTurn = 0;
    this.startsInTurn = 0;
    this.turnStartedMs = null;
    if (this.queued.length + this.unpolled.length === 0) return;
    this.turnStartedMs = this.options.clock.monotonicMs();
    setImmediate(() => this.endTurn());
    const ready = this.takeReady(this.queued, limit);
    this.startsInTurn = ready.length;
    for (const work of ready) work.resolve();
    for (const work of this.takeReady(this.unpolled, Infinity)) work.resolve();
  }

  /**
   * Takes the oldest work for which the sockets have been polled often enough.
   */
  private takeReady(queue: QueuedWork[], limit: number): QueuedWork[] {
    let count = 0;
    while (
      count < Math.min(limit, queue.length) &&
      this.pollCount - queue[count].sincePoll >= POLLS_BEFORE_START
    ) {
      count++;
    }
    return queue.splice(0, count);
  }
}
