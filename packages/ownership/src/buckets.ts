import type * as protocol from '@camphorwharf/protocol';
import * as tokenBucket from './token-bucket.js';
import * as constants from './constants.js';
import type * as interfaces from './interfaces.js';
import * as views from './views.js';

export interface BucketsOptions {
  /** Greatest number of organisations. */
  readonly limit?: number;
  /** Time after which the owner writes a grant off. */
  readonly grantLifetimeMs?: number;
  /** How long the bucket of a new owner stays without refill. */
  readonly fillDelayMs?: number;
  /** How long before an ownership its hand-over may have arrived. */
  readonly handOverUseMs?: number;
}

interface HandOver {
  readonly tokens: number;
  readonly receivedMs: number;
}

/** The token buckets of the organisations that a member owns. */
export class Buckets implements interfaces.BucketTable {
  private readonly buckets = new Map<string, tokenBucket.Bucket>();
  private readonly handOvers = new Map<string, HandOver>();
  private readonly limit: number;
  private readonly grantLifetimeMs: number;
  private readonly fillDelayMs: number;
  private readonly handOverUseMs: number;

  constructor(options: BucketsOptions = {}) {
    this.limit = options.limit ?? constants.BUCKET_LIMIT;
    this.grantLifetimeMs =
      options.grantLifetimeMs ??
      constants.GRANT_LIFETIME_MS + constants.GRANT_EXPIRY_MARGIN_MS;
    this.fillDelayMs = options.fillDelayMs ?? constants.NEW_OWNER_FILL_DELAY_MS;
    this.handOverUseMs = options.handOverUseMs ?? constants.HAND_OVER_USE_MS;
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
    const own = this.prepared(
      request.organisation,
      limits,
      ownerSinceMs,
      nowMs,
    );
    const holderKey = views.memberKey(request.holder);
    const account = own?.account(holderKey, nowMs);
    if (!own || !account) return grantAnswer(0, 1_000);
    if (!account.accept(request.sequence, nowMs)) {
      return grantAnswer(0, own.waitMs(nowMs));
    }
    own.spend(account, request.spent);
    const tokens = own.give(holderKey, account, request.tokens, nowMs);
    if (tokens === 0 && own.isUnfilled(nowMs)) {
      return {...grantAnswer(0, own.waitMs(nowMs)), unfilled: true};
    }
    return grantAnswer(tokens, tokens > 0 ? 0 : own.waitMs(nowMs));
  }

  giveBack(request: protocol.GrantReturn, nowMs: number): void {
    const own = this.buckets.get(request.organisation);
    const account = own?.account(views.memberKey(request.holder), nowMs);
    if (!own || !account) return;
    own.refill(nowMs);
    if (!account.accept(request.sequence, nowMs)) return;
    own.spend(account, request.spent);
    own.takeBack(account, request.unspent);
  }

  takeForHandOver(
    nowMs: number,
  ): Array<{readonly organisation: string; readonly tokens: number}> {
    const levels = [...this.buckets].map(([organisation, own]) => {
      own.refill(nowMs);
      return {organisation, tokens: own.empty()};
    });
    return levels.filter(level => level.tokens > 0);
  }

  /** Takes a level for an ownership that starts or has just started. */
  receiveHandOver(organisation: string, tokens: number, nowMs: number): void {
    const own = this.buckets.get(organisation);
    if (own?.isUnfilled(nowMs)) {
      if (tokens >= 0) own.inheritLate(tokens);
      return;
    }
    const known = this.handOvers.get(organisation);
    // A repeated message must not renew the time at which the first arrived.
    if (known && nowMs - known.receivedMs <= this.handOverUseMs) return;
    if (!known && this.handOvers.size >= this.limit) {
      this.forgetOldHandOvers(nowMs);
      if (this.handOvers.size >= this.limit) return;
    }
    if (!(tokens >= 0)) return;
    this.handOvers.set(organisation, {tokens, receivedMs: nowMs});
  }

  private prepared(
    organisation: string,
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): tokenBucket.Bucket | null {
    let own = this.buckets.get(organisation);
    if (!own) {
      if (this.buckets.size >= this.limit) return null;
      own = new tokenBucket.Bucket(
        limits,
        this.grantLifetimeMs,
        this.fillDelayMs,
      );
      this.buckets.set(organisation, own);
    }
    const inherited = own.startsAnew(ownerSinceMs)
      ? this.takeInherited(organisation, ownerSinceMs)
      : 0;
    own.prepare(limits, ownerSinceMs, inherited, nowMs);
    return own;
  }

  private forgetOldHandOvers(nowMs: number): void {
    for (const [organisation, {receivedMs}] of this.handOvers) {
      if (nowMs - receivedMs > this.handOverUseMs) {
        this.handOvers.delete(organisation);
      }
    }
  }

  /** Returns the level handed over for an ownership; it is used once. */
  private takeInherited(organisation: string, ownerSinceMs: number): number {
    const level = this.handOvers.get(organisation);
    if (!level) return 0;
    this.handOvers.delete(organisation);
    const ageMs = ownerSinceMs - level.receivedMs;
    return ageMs >= 0 && ageMs <= this.handOverUseMs ? level.tokens : 0;
  }
}

function grantAnswer(
  tokens: number,
  retryAfterMs: number,
): protocol.GrantAnswer {
  return {kind: 'grantAnswer', tokens, retryAfterMs};
}
