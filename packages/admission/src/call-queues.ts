export interface QueuedCall<Ticket> {
  readonly ticket: Ticket;
  readonly class: number;
  /** Absent if the call does not state it. */
  readonly expectedRunMs: number | undefined;
  readonly waitDeadlineMs: number;
}

/**
 * Queues of calls by class, served in the order of their classes and then of
 * arrival, with the expected run times of the calls in each.
 */
export class CallQueues<Ticket> {
  private waitingCount = 0;
  /** Queues by class: 0 holds nested calls, n + 1 holds calls of priority n. */
  private readonly queues: Array<Array<QueuedCall<Ticket>>> = [];
  /** Expected run times of the calls in each queue that state them. */
  private readonly queuedRunMs: number[] = [];
  /** Number of the other calls in each queue. */
  private readonly queuedUnknown: number[] = [];

  /** Number of calls in all queues. */
  get length(): number {
    return this.waitingCount;
  }

  get classCount(): number {
    return this.queues.length;
  }

  add(call: QueuedCall<Ticket>): void {
    while (this.queues.length <= call.class) {
      this.queues.push([]);
      this.queuedRunMs.push(0);
      this.queuedUnknown.push(0);
    }
    this.queues[call.class].push(call);
    this.noteQueued(call, 1);
  }

  /** Removes a call; returns false if it is not queued. */
  remove(ticket: Ticket): boolean {
    for (const queue of this.queues) {
      const index = queue.findIndex(queued => queued.ticket === ticket);
      if (index < 0) continue;
      const [removed] = queue.splice(index, 1);
      this.noteQueued(removed, -1);
      return true;
    }
    return false;
  }

  /** Removes and returns the call that is served next. */
  dequeue(): QueuedCall<Ticket> | null {
    for (const queue of this.queues) {
      const first = queue.shift();
      if (!first) continue;
      this.noteQueued(first, -1);
      return first;
    }
    return null;
  }

  /** Whether a call of this class has exceeded its maximum wait. */
  hasExpired(classIndex: number, nowMs: number): boolean {
    return this.queues[classIndex].some(
      queued => nowMs >= queued.waitDeadlineMs,
    );
  }

  /**
   * Removes the calls of a class that have exceeded their maximum wait. Calls
   * `onRemoved` after the removal of each, before that of the next.
   */
  removeExpired(
    classIndex: number,
    nowMs: number,
    onRemoved: (call: QueuedCall<Ticket>) => void,
  ): void {
    this.queues[classIndex] = this.queues[classIndex].filter(queued => {
      if (nowMs < queued.waitDeadlineMs) return true;
      this.noteQueued(queued, -1);
      onRemoved(queued);
      return false;
    });
  }

  /** Number of the calls that are served before a new one of this class. */
  callsAhead(classIndex: number): number {
    let ahead = 0;
    const last = Math.min(classIndex, this.queues.length - 1);
    for (let index = 0; index <= last; index++) {
      ahead += this.queues[index].length;
    }
    return ahead;
  }

  /**
   * Expected run times of the calls that are served before a new one of this
   * class. Calls that state none are expected to run for `averageRunMs`.
   */
  runMsAhead(classIndex: number, averageRunMs: number): number {
    let runMs = 0;
    const last = Math.min(classIndex, this.queues.length - 1);
    for (let index = 0; index <= last; index++) {
      runMs +=
        this.queuedRunMs[index] + this.queuedUnknown[index] * averageRunMs;
    }
    return runMs;
  }

  /** Adds a call to the sums over its queue, or removes it from them. */
  private noteQueued(call: QueuedCall<Ticket>, change: 1 | -1): void {
    this.waitingCount += change;
    this.queuedRunMs[call.class] += change * (call.expectedRunMs ?? 0);
    if (call.expectedRunMs === undefined) {
      this.queuedUnknown[call.class] += change;
    }
  }
}

/** Class of a call: nested calls come first, then calls by priority. */
export function classOf(nested: boolean, priority: number): number {
  return nested ? 0 : priority + 1;
}
