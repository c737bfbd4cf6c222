import type * as runtime from '@camphorwharf/runtime';

/**
 * Time in milliseconds for which work begins before the sockets are read
 * again, so that the end of a caller is known soon.
 */
const TURN_MS = 20;

/**
 * Work that begins in one turn of the event loop at most, unless more was
 * asked for in the turn before: starts keep pace with what is read.
 */
const TURN_STARTS = 32;

/**
 * Polls of the sockets before work that had to wait begins: the poll after
 * the one that returns the last data of a connection returns its end.
 */
const POLLS = 2;

/** Whether work that was asked for is still to begin. */
export type StartVerdict = 'start' | 'cancelled' | 'deadlineExpired';

export interface StartGateOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Whether this process has input that it has not read for some time. */
  readonly isLate: () => boolean;
}

/** Where on the path of a request work is about to begin. */
export type StartPlace = 'entry' | 'target' | 'slot' | 'retry';

interface Waiting {
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
export class StartGate {
  private waiting: Waiting[] = [];
  /** Work that did not wait for a turn, but for the end behind its data. */
  private unread: Waiting[] = [];
  private polls = 0;
  private askedInTurn = 0;
  private startsInTurn = 0;
  private turnStartedMs: number | null = null;

  constructor(private readonly options: StartGateOptions) {}

  /** How long the oldest work waits, in milliseconds. */
  waitMs(nowMs: number): number {
    return this.waiting.length === 0 ? 0 : nowMs - this.waiting[0].sinceMs;
  }

  /**
   * Resolves when the work may begin or has become needless. `mayHaveEnded`
   * tells that the caller may have left before its request could be read,
   * however much time this process has.
   */
  async pass(
    place: StartPlace,
    signal: runtime.CancelSignal,
    deadlineMs: number,
    mayHaveEnded = false,
  ): Promise<StartVerdict> {
    // A cancellation that stands right behind a call is read first.
    await Promise.resolve();
    this.askedInTurn++;
    const mayStart = this.mayStart();
    if (!mayStart || mayHaveEnded) {
      const queue = mayStart ? this.unread : this.waiting;
      await new Promise<void>(resolve => {
        queue.push({
          sinceMs: this.options.clock.monotonicMs(),
          sincePoll: this.polls,
          resolve,
        });
      });
    }
    const verdict = this.verdict(signal, deadlineMs);
    if (verdict !== 'start') {
      this.options.metrics.count(
        'starts_dropped_total',
        'Work that did not begin because nobody waited for it any more, by ' +
          'place and reason.',
        {place, reason: verdict},
      );
    }
    return verdict;
  }

  private verdict(
    signal: runtime.CancelSignal,
    deadlineMs: number,
  ): StartVerdict {
    if (signal.aborted) return 'cancelled';
    return this.options.clock.monotonicMs() >= deadlineMs
      ? 'deadlineExpired'
      : 'start';
  }

  /** Counts the work as begun when it may begin in this turn. */
  private mayStart(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (this.turnStartedMs === null) {
      this.turnStartedMs = nowMs;
      setImmediate(() => this.endTurn());
    }
    if (
      this.waiting.length > 0 ||
      this.startsInTurn >= TURN_STARTS ||
      nowMs - this.turnStartedMs >= TURN_MS ||
      this.options.isLate()
    ) {
      return false;
    }
    this.startsInTurn++;
    return true;
  }

  /** Runs after a poll of the sockets; begins what has waited long enough. */
  private endTurn(): void {
    this.polls++;
    const limit = Math.max(TURN_STARTS, this.askedInTurn);
    this.askedInTurn = 0;
    this.startsInTurn = 0;
    this.turnStartedMs = null;
    if (this.waiting.length + this.unread.length === 0) return;
    this.turnStartedMs = this.options.clock.monotonicMs();
    setImmediate(() => this.endTurn());
    const ready = this.takeRead(this.waiting, limit);
    this.startsInTurn = ready.length;
    for (const work of ready) work.resolve();
    for (const work of this.takeRead(this.unread, Infinity)) work.resolve();
  }

  /** Takes the oldest work behind which the sockets have been read. */
  private takeRead(queue: Waiting[], limit: number): Waiting[] {
    let count = 0;
    while (
      count < Math.min(limit, queue.length) &&
      this.polls - queue[count].sincePoll >= POLLS
    ) {
      count++;
    }
    return queue.splice(0, count);
  }
}
