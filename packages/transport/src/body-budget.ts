/**
 * Body bytes that all calls of one connection may keep for slow readers. The
 * windows of 10,000 calls would add up to 2.5 GB.
 */
export const MAXIMUM_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Counts the bytes that wait in the body queues of one connection. */
export class BodyBudget {
  private usedBytes = 0;

  constructor(private readonly limitBytes = MAXIMUM_BUFFERED_BYTES) {}

  /** Returns false, and takes nothing, when the budget is spent. */
  take(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  give(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
