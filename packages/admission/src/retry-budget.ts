import type * as interfaces from './interfaces.js';

/** Retries that one request may still spend at this hop and below. */
export class RequestRetryBudget implements interfaces.RetryBudget {
  private remaining: number;
  private lent = 0;

  constructor(retries: number) {
    this.remaining = Math.max(0, Math.floor(retries));
  }

  get left(): number {
    return this.remaining;
  }

  takeOne(): boolean {
    if (this.remaining < 1) return false;
    this.remaining--;
    return true;
  }

  /**
   * Lends half of what is left, rounded up: the last retry reaches the end of
   * a deep chain, and a second concurrent child still finds a part.
   */
  takeShare(): number {
    const share = Math.ceil(this.remaining / 2);
    this.remaining -= share;
    this.lent += share;
    return share;
  }

  /** Never takes back more than is lent, whatever the child reports. */
  giveBack(unspent: number): void {
    const returned = Math.min(this.lent, Math.max(0, Math.floor(unspent)));
    this.lent -= returned;
    this.remaining += returned;
  }
}
