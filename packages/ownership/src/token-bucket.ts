import * as constants from './constants.js';
import * as holderAccount from './holder-account.js';
import type * as interfaces from './interfaces.js';

/** Answered when a bucket cannot tell when it will have a token. */
const UNKNOWN_WAIT_MS = 1_000;

interface LiveGrant {
  readonly grant: holderAccount.Grant;
  readonly holder: holderAccount.HolderAccount;
}

/**
 * The token bucket of one organisation at its owner.
 *
 * Tokens in the bucket plus outstanding ones never exceed the burst. After a
 * limits change this holds as soon as the grants made before it have ended.
 */
export class Bucket {
  private readonly holders = new Map<string, holderAccount.HolderAccount>();
  /** Grants that are not written off, in the order in which they end. */
  private liveGrants: LiveGrant[] = [];
  private outstanding = 0;
  private tokens = 0;
  /** Whether this ownership has taken the level of the former owner. */
  private hasInherited = false;
  /** Up to when the bucket has been filled. */
  private filledMs = -Infinity;
  /** When this owner last acted for the bucket. */
  private actedMs = -Infinity;
  private lastAskedBy = '';
  private lastAskedMs = -Infinity;
  /** When a holder other than `lastAskedBy` last asked. */
  private othersAskedMs = -Infinity;

  constructor(
    private limits: interfaces.BucketLimits,
    private readonly grantLifetimeMs: number,
    private readonly fillDelayMs: number,
  ) {}

  /**
   * Prepares the bucket for a decision: starts it anew when the ownership
   * began after the owner last acted, applies the limits, and fills it.
   * `inherited` are the tokens that the former owner handed over.
   */
  prepare(
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    inherited: number,
    nowMs: number,
  ): void {
    if (this.startsAnew(ownerSinceMs)) {
      // Grants of an earlier ownership stay until they end.
      this.tokens = inherited;
      this.hasInherited = inherited > 0;
      this.filledMs = Math.max(this.filledMs, ownerSinceMs + this.fillDelayMs);
    }
    this.actedMs = nowMs;
    // When a rate changes, the time since the last fill counts at the lower.
    const rate = Math.min(limits.ratePerSecond, this.limits.ratePerSecond);
    this.limits = limits;
    this.fill(rate, nowMs);
  }

  startsAnew(ownerSinceMs: number): boolean {
    return ownerSinceMs > this.actedMs;
  }

  /**
   * Takes the level of the former owner after the ownership has started. It
   * is safe until the first fill, as the bucket has given only what it had.
   */
  inheritLate(tokens: number): void {
    if (this.hasInherited) return;
    this.hasInherited = true;
    this.tokens = Math.min(this.tokens + tokens, this.room());
  }

  /** Whether the ownership has started and the first fill has not. */
  isUnfilled(nowMs: number): boolean {
    return nowMs < this.filledMs;
  }

  /** Fills the bucket under the limits last applied. */
  refill(nowMs: number): void {
    this.fill(this.limits.ratePerSecond, nowMs);
  }

  /** Returns the holder's account; null when there are too many holders. */
  account(
    holderKey: string,
    nowMs: number,
  ): holderAccount.HolderAccount | null {
    let holder = this.holders.get(holderKey);
    if (holder) return holder;
    if (this.holders.size >= constants.HOLDER_LIMIT) this.forgetIdle(nowMs);
    if (this.holders.size >= constants.HOLDER_LIMIT) return null;
    holder = new holderAccount.HolderAccount();
    this.holders.set(holderKey, holder);
    return holder;
  }

  /** Takes a report of spent tokens. */
  spend(holder: holderAccount.HolderAccount, tokens: number): void {
    this.outstanding -= holder.remove(tokens);
  }

  /** Takes unspent tokens back into the bucket. */
  takeBack(holder: holderAccount.HolderAccount, tokens: number): void {
    const returned = holder.remove(tokens);
    this.outstanding -= returned;
    this.tokens = Math.min(this.tokens + returned, this.room());
  }

  /** Debits the bucket for a grant; returns the tokens given. */
  give(
    holderKey: string,
    holder: holderAccount.HolderAccount,
    wanted: number,
    nowMs: number,
  ): number {
    this.noteAsked(holderKey, nowMs);
    const available = Math.floor(this.tokens);
    // Another holder may ask at any time while it has recent demand.
    const isQuiet = nowMs - this.othersAskedMs >= constants.GRANT_LIFETIME_MS;
    const part = isQuiet ? available : Math.ceil(available / 2);
    const given = Math.max(0, Math.min(Math.floor(wanted), part));
    if (given === 0) return 0;
    const grant = {tokens: given, endMs: nowMs + this.grantLifetimeMs};
    this.tokens -= given;
    this.outstanding += given;
    holder.add(grant);
    this.liveGrants.push({grant, holder});
    return given;
  }

  /** Empties the bucket and returns its level. */
  empty(): number {
    const level = this.tokens;
    this.tokens = 0;
    return level;
  }

  /** Time until one token can be given. */
  waitMs(nowMs: number): number {
    if (this.room() < 1) {
      const endMs = this.liveGrants[0]?.grant.endMs ?? nowMs + UNKNOWN_WAIT_MS;
      return Math.max(1, endMs - nowMs);
    }
    const rate = this.limits.ratePerSecond;
    if (rate <= 0) return UNKNOWN_WAIT_MS;
    const startMs = Math.max(0, this.filledMs - nowMs);
    const missing = Math.max(0, 1 - this.tokens);
    return Math.max(1, Math.ceil(startMs + (missing / rate) * 1_000));
  }

  /** Most tokens that the bucket may hold. */
  private room(): number {
    return Math.max(0, this.limits.burst - this.outstanding);
  }

  /** Fills up to `nowMs`, in steps that end where grants are written off. */
  private fill(ratePerSecond: number, nowMs: number): void {
    const ended = this.liveGrants.findIndex(({grant}) => grant.endMs > nowMs);
    const count = ended === -1 ? this.liveGrants.length : ended;
    for (const {grant, holder} of this.liveGrants.splice(0, count)) {
      this.fillUntil(ratePerSecond, grant.endMs);
      this.outstanding -= grant.tokens;
      holder.writeOff(grant.endMs);
    }
    this.fillUntil(ratePerSecond, nowMs);
  }

  private fillUntil(ratePerSecond: number, untilMs: number): void {
    const elapsedMs = Math.max(0, untilMs - this.filledMs);
    const filled = this.tokens + (elapsedMs * ratePerSecond) / 1_000;
    this.tokens = Math.min(filled, this.room());
    this.filledMs = Math.max(this.filledMs, untilMs);
  }

  private noteAsked(holderKey: string, nowMs: number): void {
    if (holderKey === this.lastAskedBy) {
      this.lastAskedMs = nowMs;
      return;
    }
    this.othersAskedMs = this.lastAskedMs;
    this.lastAskedBy = holderKey;
    this.lastAskedMs = nowMs;
  }

  private forgetIdle(nowMs: number): void {
    for (const [key, holder] of this.holders) {
      if (holder.hasLive) continue;
      if (nowMs - holder.lastRequestMs < constants.HOLDER_IDLE_MS) continue;
      this.holders.delete(key);
    }
  }
}
