import * as constants from './constants.js';
import * as holderAccount from './holder-account.js';
import type * as interfaces from './interfaces.js';

/** Retry delay returned when the time of the next token is not known. */
const DEFAULT_RETRY_DELAY_MS = 1_000;

interface LiveGrant {
  readonly grant: holderAccount.Grant;
  readonly holder: holderAccount.HolderAccount;
}

/**
 * The token bucket of one organisation, kept by its owner.
 *
 * The sum of available and outstanding tokens never exceeds the burst. After
 * a limit change this holds once all grants made before it have expired.
 */
export class TokenBucket {
  private readonly holders = new Map<string, holderAccount.HolderAccount>();
  /** Unexpired grants, ordered by expiry time. */
  private liveGrants: LiveGrant[] = [];
  private outstanding = 0;
  private tokens = 0;
  /** Whether the former owner's level was added during this ownership. */
  private hasInheritedTokens = false;
  /** Instant up to which tokens have been accrued. */
  private refilledUntilMs = -Infinity;
  /** When this owner last prepared the bucket for a decision. */
  private lastUsedMs = -Infinity;
  private lastRequester = '';
  private lastRequestMs = -Infinity;
  /** When a holder other than `lastRequester` last sent a request. */
  private otherRequestMs = -Infinity;

  constructor(
    private limits: interfaces.BucketLimits,
    private readonly grantLifetimeMs: number,
    private readonly fillDelayMs: number,
  ) {}

  /**
   * Prepares the bucket for a decision: resets it when the ownership began
   * after the bucket was last used, applies the limits and refills it.
   * `inheritedTokens` is the level that the former owner handed over.
   */
  prepare(
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    inheritedTokens: number,
    nowMs: number,
  ): void {
    if (this.isNewOwnership(ownerSinceMs)) {
      // Grants of an earlier ownership stay outstanding until they expire.
      this.tokens = inheritedTokens;
      this.hasInheritedTokens = inheritedTokens > 0;
      this.refilledUntilMs = Math.max(
        this.refilledUntilMs,
        ownerSinceMs + this.fillDelayMs,
      );
    }
    this.lastUsedMs = nowMs;
    // When the rate changes, the time since the last refill is credited at
    // the lower of both rates.
    const rate = Math.min(limits.ratePerSecond, this.limits.ratePerSecond);
    this.limits = limits;
    this.refillAtRate(rate, nowMs);
  }

  isNewOwnership(ownerSinceMs: number): boolean {
    return ownerSinceMs > this.lastUsedMs;
  }

  /**
   * Adds the former owner's level after the ownership has started. This is
   * safe until the first refill, because until then the bucket grants nothing
   * but inherited tokens.
   */
  addInheritedTokens(tokens: number): void {
    if (this.hasInheritedTokens) return;
    this.hasInheritedTokens = true;
    this.tokens = Math.min(this.tokens + tokens, this.maximumTokens());
  }

  /** Whether the refill delay of a new ownership has not elapsed yet. */
  isRefillDelayed(nowMs: number): boolean {
    return nowMs < this.refilledUntilMs;
  }

  /** Refills the bucket under the limits that were applied last. */
  refill(nowMs: number): void {
    this.refillAtRate(this.limits.ratePerSecond, nowMs);
  }

  /** Returns the holder's account, or null when the holder limit is reached. */
  accountFor(
    holderKey: string,
    nowMs: number,
  ): holderAccount.HolderAccount | null {
    let holder = this.holders.get(holderKey);
    if (holder) return holder;
    if (this.holders.size >= constants.HOLDER_LIMIT) this.evictIdle(nowMs);
    if (this.holders.size >= constants.HOLDER_LIMIT) return null;
    holder = new holderAccount.HolderAccount();
    this.holders.set(holderKey, holder);
    return holder;
  }

  /** Applies a holder's report of spent tokens. */
  recordSpent(holder: holderAccount.HolderAccount, tokens: number): void {
    this.outstanding -= holder.deduct(tokens);
  }

  /** Returns a holder's unspent tokens to the bucket. */
  returnTokens(holder: holderAccount.HolderAccount, tokens: number): void {
    const returned = holder.deduct(tokens);
    this.outstanding -= returned;
    this.tokens = Math.min(this.tokens + returned, this.maximumTokens());
  }

  /** Debits the bucket for a grant and returns the number of tokens granted. */
  grantTokens(
    holderKey: string,
    holder: holderAccount.HolderAccount,
    wanted: number,
    nowMs: number,
  ): number {
    this.recordRequester(holderKey, nowMs);
    const available = Math.floor(this.tokens);
    // A holder with recent demand may send its next request at any time, so
    // half of the tokens are reserved for it.
    const isOnlyRequester =
      nowMs - this.otherRequestMs >= constants.GRANT_LIFETIME_MS;
    const share = isOnlyRequester ? available : Math.ceil(available / 2);
    const granted = Math.max(0, Math.min(Math.floor(wanted), share));
    if (granted === 0) return 0;
    const grant = {tokens: granted, expiresAtMs: nowMs + this.grantLifetimeMs};
    this.tokens -= granted;
    this.outstanding += granted;
    holder.addGrant(grant);
    this.liveGrants.push({grant, holder});
    return granted;
  }

  /** Empties the bucket and returns its level. */
  drain(): number {
    const level = this.tokens;
    this.tokens = 0;
    return level;
  }

  /** Time until one token can be granted. */
  retryDelayMs(nowMs: number): number {
    if (this.maximumTokens() < 1) {
      const retryAtMs =
        this.liveGrants[0]?.grant.expiresAtMs ?? nowMs + DEFAULT_RETRY_DELAY_MS;
      return Math.max(1, retryAtMs - nowMs);
    }
    const rate = this.limits.ratePerSecond;
    if (rate <= 0) return DEFAULT_RETRY_DELAY_MS;
    const remainingDelayMs = Math.max(0, this.refilledUntilMs - nowMs);
    const missingTokens = Math.max(0, 1 - this.tokens);
    return Math.max(
      1,
      Math.ceil(remainingDelayMs + (missingTokens / rate) * 1_000),
    );
  }

  /** Highest permitted level: the burst less the outstanding tokens. */
  private maximumTokens(): number {
    return Math.max(0, this.limits.burst - this.outstanding);
  }

  /** Accrues tokens up to `nowMs`, in steps that end where grants expire. */
  private refillAtRate(ratePerSecond: number, nowMs: number): void {
    const firstLiveIndex = this.liveGrants.findIndex(
      ({grant}) => grant.expiresAtMs > nowMs,
    );
    const expiredCount =
      firstLiveIndex === -1 ? this.liveGrants.length : firstLiveIndex;
    for (const {grant, holder} of this.liveGrants.splice(0, expiredCount)) {
      this.accrueUntil(ratePerSecond, grant.expiresAtMs);
      this.outstanding -= grant.tokens;
      holder.expireGrants(grant.expiresAtMs);
    }
    this.accrueUntil(ratePerSecond, nowMs);
  }

  private accrueUntil(ratePerSecond: number, untilMs: number): void {
    const elapsedMs = Math.max(0, untilMs - this.refilledUntilMs);
    const accrued = this.tokens + (elapsedMs * ratePerSecond) / 1_000;
    this.tokens = Math.min(accrued, this.maximumTokens());
    this.refilledUntilMs = Math.max(this.refilledUntilMs, untilMs);
  }

  private recordRequester(holderKey: string, nowMs: number): void {
    if (holderKey === this.lastRequester) {
      this.lastRequestMs = nowMs;
      return;
    }
    this.otherRequestMs = this.lastRequestMs;
    this.lastRequester = holderKey;
    this.lastRequestMs = nowMs;
  }

  private evictIdle(nowMs: number): void {
    for (const [key, holder] of this.holders) {
      if (holder.hasLiveTokens) continue;
      if (nowMs - holder.lastRequestMs < constants.HOLDER_IDLE_MS) continue;
      this.holders.delete(key);
    }
  }
}
