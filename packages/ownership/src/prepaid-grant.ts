import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as demandEstimator from './demand-estimator.js';
import type * as interfaces from './interfaces.js';

export interface PrepaidGrantOptions {
  readonly organisation: string;
  readonly holder: protocol.MemberIdentity;
  /** Time after which a grant expires at the holder. */
  readonly grantLifetimeMs?: number;
}

interface HeldTokens {
  tokens: number;
  readonly expiresAtMs: number;
}

/**
 * The prepaid tokens of one organisation at an entry daemon.
 *
 * Sequence numbers increase by one after an answered request and by two after
 * a lost one, so an increase by one tells the owner that its answer arrived.
 * A lost report of spent tokens is not repeated, because the owner may have
 * applied it.
 */
export class PrepaidGrant implements interfaces.GrantHolder {
  private readonly organisation: string;
  private readonly holder: protocol.MemberIdentity;
  private readonly lifetimeMs: number;
  private readonly demandEstimator = new demandEstimator.DemandEstimator(
    constants.DEMAND_TIME_CONSTANT_MS,
  );

  private grants: HeldTokens[] = [];
  private spent = 0;
  private unmet = 0;
  private unmetAtMs = -Infinity;
  private sequence = 0;
  private pendingRequestSentMs: number | null = null;
  private lastRequestSentMs = -Infinity;
  private retryNotBeforeMs = -Infinity;

  constructor(options: PrepaidGrantOptions) {
    this.organisation = options.organisation;
    this.holder = options.holder;
    this.lifetimeMs = options.grantLifetimeMs ?? constants.GRANT_LIFETIME_MS;
  }

  /** Tokens held, including those of grants expired since the last call. */
  get heldTokens(): number {
    return this.grants.reduce((sum, grant) => sum + grant.tokens, 0);
  }

  trySpend(nowMs: number): boolean {
    this.dropExpired(nowMs);
    const grant = this.grants[0];
    if (!grant) return false;
    grant.tokens--;
    if (grant.tokens === 0) this.grants.shift();
    this.spent++;
    // Demand that was recorded as unmet must not be counted twice.
    if (this.unmet > 0) this.unmet--;
    else this.demandEstimator.recordArrival(nowMs);
    return true;
  }

  recordUnmetDemand(nowMs: number): void {
    this.expireUnmetDemand(nowMs);
    this.unmet++;
    this.unmetAtMs = nowMs;
    this.demandEstimator.recordArrival(nowMs);
  }

  nextRequest(nowMs: number): protocol.GrantRequest | null {
    if (this.pendingRequestSentMs !== null) return null;
    if (
      nowMs - this.lastRequestSentMs <
      constants.GRANT_REQUEST_MINIMUM_INTERVAL_MS
    ) {
      return null;
    }
    const tokens =
      nowMs < this.retryNotBeforeMs ? 0 : this.tokensToRequest(nowMs);
    // With little demand no tokens are requested in advance, so no timely
    // request would carry the report, and tokens not reported as spent keep
    // the owner from refilling the bucket.
    const mustReport = this.spent > 0 && !this.hasExpectedDemand(nowMs);
    if (tokens === 0 && !mustReport) return null;
    const request: protocol.GrantRequest = {
      kind: 'grant',
      organisation: this.organisation,
      holder: this.holder,
      tokens,
      spent: this.spent,
      sequence: ++this.sequence,
    };
    this.spent = 0;
    this.pendingRequestSentMs = nowMs;
    this.lastRequestSentMs = nowMs;
    return request;
  }

  recordAnswer(
    answer: protocol.GrantAnswer,
    requestSentMs: number,
    nowMs: number,
  ): void {
    const sentMs = this.pendingRequestSentMs;
    // The answer belongs to an earlier request that is considered lost.
    if (sentMs === null || requestSentMs < sentMs) return;
    this.pendingRequestSentMs = null;
    if (answer.tokens > 0) {
      this.grants.push({
        tokens: answer.tokens,
        expiresAtMs: sentMs + this.lifetimeMs,
      });
      this.dropExpired(nowMs);
    }
    this.retryNotBeforeMs = nowMs + answer.retryAfterMs;
  }

  recordLostRequest(_nowMs: number): void {
    if (this.pendingRequestSentMs === null) return;
    this.pendingRequestSentMs = null;
    this.sequence++;
  }

  returnUnspentTokens(nowMs: number): protocol.GrantReturn | null {
    this.dropExpired(nowMs);
    this.recordLostRequest(nowMs);
    const unspent = this.heldTokens;
    if (unspent === 0 && this.spent === 0) return null;
    const request: protocol.GrantReturn = {
      kind: 'grantReturn',
      organisation: this.organisation,
      holder: this.holder,
      spent: this.spent,
      unspent,
      sequence: ++this.sequence,
    };
    this.grants = [];
    this.spent = 0;
    return request;
  }

  private hasExpectedDemand(nowMs: number): boolean {
    return (
      this.demandEstimator.expectedArrivals(
        constants.GRANT_COVERAGE_MS,
        nowMs,
      ) >= 1
    );
  }

  /** Number of tokens to request now. */
  private tokensToRequest(nowMs: number): number {
    this.dropExpired(nowMs);
    this.expireUnmetDemand(nowMs);
    const held = this.heldTokens;
    const deficit = Math.max(0, this.unmet - held);
    if (!this.hasExpectedDemand(nowMs)) return deficit;
    const target = Math.ceil(
      this.demandEstimator.expectedArrivals(constants.GRANT_COVERAGE_MS, nowMs),
    );
    return held < target / 2 ? Math.max(target - held, deficit) : deficit;
  }

  private dropExpired(nowMs: number): void {
    if (this.grants.every(grant => nowMs < grant.expiresAtMs)) return;
    this.grants = this.grants.filter(grant => nowMs < grant.expiresAtMs);
  }

  private expireUnmetDemand(nowMs: number): void {
    if (nowMs - this.unmetAtMs > constants.UNMET_DEMAND_TTL_MS) this.unmet = 0;
  }
}
