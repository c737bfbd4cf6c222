/**
 * Connections that deliver many chunks wait here before they are read again.
 * One continues in each iteration of the event loop, so that the time of an
 * iteration does not grow with the number of bodies that arrive in small chunks.
 */
export class ReadPacer {
  private readonly waiting: Array<() => void> = [];
  private isScheduled = false;

  /** Calls `continueReading` in a later iteration of the event loop. */
  enqueue(continueReading: () => void): void {
    this.waiting.push(continueReading);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.waiting.shift()?.();
      this.schedule();
    });
  }
}
