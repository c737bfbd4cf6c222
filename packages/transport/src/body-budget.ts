/**
 * Default limit for unread body bytes of all calls on one connection. The flow
 * control windows of 10,000 calls alone would allow 2.5 GB.
 */
export const MAXIMUM_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Limits the total number of buffered bytes of several bodies. */
export class BodyBudget {
  private reservedBytes = 0;

  constructor(private readonly limitBytes = MAXIMUM_BUFFERED_BYTES) {}

  /** Returns false, and reserves nothing, when the budget is exceeded. */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
