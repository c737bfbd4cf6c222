/** Tokens granted to a holder and not known to be spent. */
export interface Grant {
  tokens: number;
  readonly expiresAtMs: number;
}

/**
 * Tracks the granted tokens that one holder may not have spent yet.
 *
 * A report of spent tokens reduces the outstanding ones. Tokens of an expired
 * grant are no longer outstanding, but a late report may still include them,
 * so a report is deducted from expired grants before live ones. Expired grants
 * are kept until no report can include them.
 */
export class HolderAccount {
  private live: Grant[] = [];
  private expired: Grant[] = [];
  private sequence = -1;
  private acceptedAtMs = -Infinity;
  /** Lower bound of the time at which the latest request was sent. */
  private sentAfterMs = -Infinity;

  get lastRequestMs(): number {
    return this.acceptedAtMs;
  }

  get hasLiveTokens(): boolean {
    return this.live.some(grant => grant.tokens > 0);
  }

  /** Accepts a sequence number; returns false for a repeated or old one. */
  acceptSequence(sequence: number, nowMs: number): boolean {
    if (sequence <= this.sequence) return false;
    // The report in this request covers tokens spent since the previous
    // request was sent, which was not before `sentAfterMs`.
    this.expired = this.expired.filter(
      grant => grant.expiresAtMs > this.sentAfterMs,
    );
    // A holder skips a number after a lost request, so a request with the
    // next number was sent after the previous answer had arrived.
    if (sequence === this.sequence + 1) this.sentAfterMs = this.acceptedAtMs;
    this.sequence = sequence;
    this.acceptedAtMs = nowMs;
    return true;
  }

  addGrant(grant: Grant): void {
    this.live.push(grant);
  }

  /** Moves grants that have expired by `nowMs` to the expired ones. */
  expireGrants(nowMs: number): void {
    const newlyExpired = this.live.filter(grant => grant.expiresAtMs <= nowMs);
    this.expired.push(...newlyExpired.filter(grant => grant.tokens > 0));
    this.live = this.live.filter(grant => grant.expiresAtMs > nowMs);
  }

  /** Deducts spent tokens; returns how many of them were outstanding. */
  deduct(tokens: number): number {
    let remaining = Math.max(0, tokens);
    for (const grant of this.expired) remaining -= deductFrom(grant, remaining);
    const remainingForLive = remaining;
    for (const grant of this.live) remaining -= deductFrom(grant, remaining);
    return remainingForLive - remaining;
  }
}

function deductFrom(grant: Grant, wanted: number): number {
  const deducted = Math.min(grant.tokens, wanted);
  grant.tokens -= deducted;
  return deducted;
}
