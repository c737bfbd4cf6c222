interface TimedEvent {
  readonly atMs: number;
  /** Orders events with the same time by insertion. */
  readonly sequence: number;
  readonly run: () => void;
}

/** Event queue in virtual time, kept as a binary heap. */
export class VirtualTime {
  nowMs = 0;
  private readonly events: TimedEvent[] = [];
  private nextSequence = 0;

  /** Runs a callback once after a delay. */
  after(delayMs: number, run: () => void): void {
    const event = {
      atMs: this.nowMs + delayMs,
      sequence: this.nextSequence++,
      run,
    };
    let position = this.events.length;
    this.events.push(event);
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!isBefore(event, this.events[parent])) break;
      this.events[position] = this.events[parent];
      position = parent;
    }
    this.events[position] = event;
  }

  /** Runs a callback periodically, first after one period. */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  /** Runs all events up to and including `endMs`. */
  runUntil(endMs: number): void {
    while (this.events.length > 0 && this.events[0].atMs <= endMs) {
      const event = this.popFirst();
      this.nowMs = event.atMs;
      event.run();
    }
    this.nowMs = endMs;
  }

  private popFirst(): TimedEvent {
    const first = this.events[0];
    const last = this.events.pop()!;
    if (this.events.length === 0) return first;
    let position = 0;
    for (;;) {
      let child = 2 * position + 1;
      if (child >= this.events.length) break;
      if (
        child + 1 < this.events.length &&
        isBefore(this.events[child + 1], this.events[child])
      ) {
        child++;
      }
      if (!isBefore(this.events[child], last)) break;
      this.events[position] = this.events[child];
      position = child;
    }
    this.events[position] = last;
    return first;
  }
}

function isBefore(first: TimedEvent, second: TimedEvent): boolean {
  return first.atMs !== second.atMs
    ? first.atMs < second.atMs
    : first.sequence < second.sequence;
}
