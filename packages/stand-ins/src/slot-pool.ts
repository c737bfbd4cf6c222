/** Bounds concurrency with a FIFO queue, as a worker pool does. */
export class SlotPool {
  running = 0;
  refused = 0;
  private readonly queue: Array<(taken: boolean) => void> = [];

  constructor(
    private readonly slots: number,
    /** Maximum number of running and queued requests. */
    private readonly limit: number,
  ) {}

  /** Waits for a slot until the signal aborts; returns at once if full. */
  async acquire(signal: AbortSignal): Promise<'taken' | 'full' | 'aborted'> {
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
      const settle = (taken: boolean) => {
        signal.removeEventListener('abort', abort);
        resolve(taken ? 'taken' : 'aborted');
      };
      const abort = () => {
        const index = this.queue.indexOf(settle);
        if (index >= 0) this.queue.splice(index, 1);
        settle(false);
      };
      signal.addEventListener('abort', abort, {once: true});
      this.queue.push(settle);
    });
  }

  /** Passes the slot to the next queued request, or frees it. */
  release(): void {
    const next = this.queue.shift();
    if (next) next(true);
    else this.running--;
  }
}
