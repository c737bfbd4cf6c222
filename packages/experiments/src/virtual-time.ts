interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their virtual instants. */
export class VirtualTime {
  nowMs = 0;
  private readonly events: TimedEvent[] = [];
  private order = 0;

  after(delayMs: number, run: () => void): void {
    const event = {atMs: this.nowMs + delayMs, order: this.order++, run};
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

  /** Repeats until the run ends. */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  runUntil(endMs: number): void {
    while (this.events.length > 0 && this.events[0].atMs <= endMs) {
      const event = this.takeFirst();
      this.nowMs = event.atMs;
      event.run();
    }
    this.nowMs = endMs;
  }

  private takeFirst(): TimedEvent {
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
    : first.order < second.order;
}
