import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as interfaces from './interfaces.js';
import * as tokenBucket from './token-bucket.js';
import * as views from './views.js';

export interface BucketsOptions {
  /** Maximum number of organisations. */
  readonly limit?: number;
  /** Time after which a grant expires at the owner. */
  readonly grantLifetimeMs?: number;
  /** Time after a takeover for which the bucket is not refilled. */
  readonly fillDelayMs?: number;
  /** Maximum age of a hand-over at the start of the ownership. */
  readonly handOverTtlMs?: number;
}

interface HandOver {
  readonly tokens: number;
  readonly receivedMs: number;
}

/** The token buckets of the organisations owned by a member. */
export class Buckets implements interfaces.BucketTable {
  private readonly buckets = new Map<string, tokenBucket.TokenBucket>();
  private readonly handOvers = new Map<string, HandOver>();
  private readonly limit: number;
  private readonly grantLifetimeMs: number;
  private readonly fillDelayMs: number;
  private readonly handOverTtlMs: number;

  constructor(options: BucketsOptions = {}) {
    this.limit = options.limit ?? constants.BUCKET_LIMIT;
    this.grantLifetimeMs =
      options.grantLifetimeMs ??
      constants.GRANT_LIFETIME_MS + constants.GRANT_EXPIRY_MARGIN_MS;
    this.fillDelayMs = options.fillDelayMs ?? constants.NEW_OWNER_FILL_DELAY_MS;
    this.handOverTtlMs =
      options.handOverTtlMs ?? constants.HAND_OVER_MAXIMUM_AGE_MS;
  }

  get size(): number {
    return this.buckets.size;
  }

  grant(
    request: protocol.GrantRequest,
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer {
    const ownedBucket = this.prepareBucket(
      request.organisation,
      limits,
      ownerSinceMs,
      nowMs,
    );
    const holderKey = views.memberKey(request.holder);
    const account = ownedBucket?.accountFor(holderKey, nowMs);
    if (!ownedBucket || !account) return grantAnswer(0, 1_000);
    if (!account.acceptSequence(request.sequence, nowMs)) {
      return grantAnswer(0, ownedBucket.retryDelayMs(nowMs));
    }
    ownedBucket.recordSpent(account, request.spent);
    const tokens = ownedBucket.grantTokens(
      holderKey,
      account,
      request.tokens,
      nowMs,
    );
    if (tokens === 0 && ownedBucket.isRefillDelayed(nowMs)) {
      return {
        ...grantAnswer(0, ownedBucket.retryDelayMs(nowMs)),
        unfilled: true,
      };
    }
    return grantAnswer(
      tokens,
      tokens > 0 ? 0 : ownedBucket.retryDelayMs(nowMs),
    );
  }

  returnTokens(request: protocol.GrantReturn, nowMs: number): void {
    const ownedBucket = this.buckets.get(request.organisation);
    const account = ownedBucket?.accountFor(
      views.memberKey(request.holder),
      nowMs,
    );
    if (!ownedBucket || !account) return;
    ownedBucket.refill(nowMs);
    if (!account.acceptSequence(request.sequence, nowMs)) return;
    ownedBucket.recordSpent(account, request.spent);
    ownedBucket.returnTokens(account, request.unspent);
  }

  drainForHandOver(
    nowMs: number,
  ): Array<{readonly organisation: string; readonly tokens: number}> {
    const levels = [...this.buckets].map(([organisation, ownedBucket]) => {
      ownedBucket.refill(nowMs);
      return {organisation, tokens: ownedBucket.drain()};
    });
    return levels.filter(level => level.tokens > 0);
  }

  /** Stores a level for an ownership that is starting or has just started. */
  receiveHandOver(organisation: string, tokens: number, nowMs: number): void {
    const ownedBucket = this.buckets.get(organisation);
    if (ownedBucket?.isRefillDelayed(nowMs)) {
      if (tokens >= 0) ownedBucket.addInheritedTokens(tokens);
      return;
    }
    const existing = this.handOvers.get(organisation);
    // A repeated message must not extend the age limit of the first one.
    if (existing && nowMs - existing.receivedMs <= this.handOverTtlMs) return;
    if (!existing && this.handOvers.size >= this.limit) {
      this.evictExpiredHandOvers(nowMs);
      if (this.handOvers.size >= this.limit) return;
    }
    if (!(tokens >= 0)) return;
    this.handOvers.set(organisation, {tokens, receivedMs: nowMs});
  }

  private prepareBucket(
    organisation: string,
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): tokenBucket.TokenBucket | null {
    let ownedBucket = this.buckets.get(organisation);
    if (!ownedBucket) {
      if (this.buckets.size >= this.limit) return null;
      ownedBucket = new tokenBucket.TokenBucket(
        limits,
        this.grantLifetimeMs,
        this.fillDelayMs,
      );
      this.buckets.set(organisation, ownedBucket);
    }
    const inheritedTokens = ownedBucket.isNewOwnership(ownerSinceMs)
      ? this.consumeHandOver(organisation, ownerSinceMs)
      : 0;
    ownedBucket.prepare(limits, ownerSinceMs, inheritedTokens, nowMs);
    return ownedBucket;
  }

  private evictExpiredHandOvers(nowMs: number): void {
    for (const [organisation, {receivedMs}] of this.handOvers) {
      if (nowMs - receivedMs > this.handOverTtlMs) {
        this.handOvers.delete(organisation);
      }
    }
  }

  /** Removes the handed-over level and returns it unless it is too old. */
  private consumeHandOver(organisation: string, ownerSinceMs: number): number {
    const handOver = this.handOvers.get(organisation);
    if (!handOver) return 0;
    this.handOvers.delete(organisation);
    const ageMs = ownerSinceMs - handOver.receivedMs;
    return ageMs >= 0 && ageMs <= this.handOverTtlMs ? handOver.tokens : 0;
  }
}

function grantAnswer(
  tokens: number,
  retryAfterMs: number,
): protocol.GrantAnswer {
  return {kind: 'grantAnswer', tokens, retryAfterMs};
}
