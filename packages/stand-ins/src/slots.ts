/** Bounded concurrency with a first-come queue, as in a worker pool. */
export class SlotPool {
  running = 0;
  refused = 0;
  private readonly queue: Array<(taken: boolean) => void> = [];

  constructor(
    private readonly slots: number,
    /** Running and queued requests together. */
    private readonly limit: number,
  ) {}

  /** Waits for a slot, unless the pool is full or the signal aborts. */
  async take(signal: AbortSignal): Promise<'taken' | 'full' | 'aborted'> {
    if (signal.aborted) return 'aborted';
    if (this.running < this.slots) {
      this.running++;
      return 'taken';
    }
    if (this.running + this.queue.length >= this.limit) {
      this.refused++;
      return 'full';
    }
    return new Promise(resolve => {
      const grant = (taken: boolean) => {
        signal.removeEventListener('abort', abort);
        resolve(taken ? 'taken' : 'aborted');
      };
      const abort = () => {
        const index = this.queue.indexOf(grant);
        if (index >= 0) this.queue.splice(index, 1);
        grant(false);
      };
      signal.addEventListener('abort', abort, {once: true});
      this.queue.push(grant);
    });
  }

  /** Passes the slot to the next waiting request. */
  release(): void {
    const next = this.queue.shift();
    if (next) next(true);
    else this.running--;
  }
}
