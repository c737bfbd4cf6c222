import type * as interfaces from './interfaces.js';

/**
 * Retries that one request in packages/daemon may still use at this hop and
 * downstream. `ServiceRetryRatio` limits the retries of all requests.
 */
export class RequestRetryBudget implements interfaces.RetryBudget {
  private available: number;
  private lent = 0;

  constructor(retries: number) {
    this.available = Math.max(0, Math.floor(retries));
  }

  get remaining(): number {
    return this.available;
  }

  trySpend(): boolean {
    if (this.available < 1) return false;
    this.available--;
    return true;
  }

  /**
   * Lends half of the remaining retries, rounded up. The last retry therefore
   * reaches the end of a deep chain, and a second concurrent child still gets a
   * share.
   */
  lendShare(): number {
    const share = Math.ceil(this.available / 2);
    this.available -= share;
    this.lent += share;
    return share;
  }

  /** Never accepts more than was lent, whatever the child reports. */
  returnUnspent(unspent: number): void {
    const returned = Math.min(this.lent, Math.max(0, Math.floor(unspent)));
    this.lent -= returned;
    this.available += returned;
  }
}
