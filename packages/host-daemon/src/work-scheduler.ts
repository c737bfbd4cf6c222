import type * as runtime from '@camphorwharf/runtime';

/**
 * Time in milliseconds for which work begins before the sockets are read
 * again, so that the end of a caller is known soon.
 */
const MAXIMUM_TURN_MS = 20;

/**
 * Work that begins in one turn of the event loop at most, unless more was
 * asked for in the turn before: starts keep pace with what is read.
 */
const STARTS_PER_TURN = 32;

/**
 * Polls of the sockets before work that had to wait begins: the poll after
 * the one that returns the last data of a connection returns its end.
 */
const POLLS_BEFORE_START = 2;

/** Whether work that was asked for is still to begin. */
export type ScheduleOutcome = 'start' | 'cancelled' | 'deadlineExpired';

export interface WorkSchedulerOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Whether this process has input that it has not read for some time. */
  readonly isLate: () => boolean;
}

/** Where on the path of a request work is about to begin. */
export type WorkStage = 'entry' | 'target' | 'slot' | 'retry';

interface QueuedWork {
  readonly sinceMs: number;
  readonly sincePoll: number;
  readonly resolve: () => void;
}

/**
 * Every piece of work passes here directly before it begins: a request at its
 * entry, a call at its target, a call that has waited for a slot, a retry.
 * A process that has much to do lets work begin in short turns and reads its
 * sockets between them, so that it knows which callers have left. Otherwise
 * it would work through all input of a long turn in the order of arrival.
 */
export class WorkScheduler {
  private queued: QueuedWork[] = [];
  /** Work that did not wait for a turn, but for the end behind its data. */
  private unpolled: QueuedWork[] = [];
  private pollCount = 0;
  private requestedInTurn = 0;
  private startsInTurn = 0;
  private turnStartedMs: number | null = null;

  constructor(private readonly options: WorkSchedulerOptions) {}

  /** How long the oldest work waits, in milliseconds. */
  queueDelayMs(nowMs: number): number {
    return this.queued.length === 0 ? 0 : nowMs - this.queued[0].sinceMs;
  }

  /**
   * Resolves when the work may begin or has become needless. `mayHaveEnded`
   * tells that the caller may have left before its request could be read,
   * however much time this process has.
   */
  async schedule(
    stage: WorkStage,
    signal: runtime.CancelSignal,
    deadlineMs: number,
    mayHaveDisconnected = false,
  ): Promise<ScheduleOutcome> {
    // A cancellation that stands right behind a call is read first.
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

  /** Counts the work as begun when it may begin in this turn. */
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
      this.options.isLate()
    ) {
      return false;
    }
    this.startsInTurn++;
    return true;
  }

  /** Runs after a poll of the sockets; begins what has waited long enough. */
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

  /** Takes the oldest work behind which the sockets have been read. */
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
