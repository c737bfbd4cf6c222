import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as demandEstimator from './demand-estimator.js';
import type * as interfaces from './interfaces.js';

export interface PrepaidGrantOptions {
  readonly organisation: string;
  readonly holder: protocol.MemberIdentity;
  /** Time after which the holder no longer spends a grant. */
  readonly grantLifetimeMs?: number;
}

interface HeldTokens {
  tokens: number;
  readonly endMs: number;
}

/**
 * The prepaid tokens of one organisation at an entry daemon.
 *
 * Sequence numbers increase by one after an answered request and by two after
 * a lost one; the owner concludes from a direct successor that the answer
 * arrived. A report of spent tokens that was lost is not repeated, because
 * the owner may have taken it.
 */
export class PrepaidGrant implements interfaces.GrantHolder {
  private readonly organisation: string;
  private readonly holder: protocol.MemberIdentity;
  private readonly lifetimeMs: number;
  private readonly demand = new demandEstimator.Demand(
    constants.DEMAND_AVERAGING_MS,
  );

  private grants: HeldTokens[] = [];
  private spent = 0;
  private unmet = 0;
  private unmetAtMs = -Infinity;
  private sequence = 0;
  private pendingSentMs: number | null = null;
  private lastSentMs = -Infinity;
  private askAgainMs = -Infinity;

  constructor(options: PrepaidGrantOptions) {
    this.organisation = options.organisation;
    this.holder = options.holder;
    this.lifetimeMs = options.grantLifetimeMs ?? constants.GRANT_LIFETIME_MS;
  }

  /** Tokens held, including those of grants that ended since the last call. */
  get held(): number {
    return this.grants.reduce((sum, grant) => sum + grant.tokens, 0);
  }

  trySpend(nowMs: number): boolean {
    this.dropEnded(nowMs);
    const grant = this.grants[0];
    if (!grant) return false;
    grant.tokens--;
    if (grant.tokens === 0) this.grants.shift();
    this.spent++;
    // Demand that was noted when it found no token is not counted twice.
    if (this.unmet > 0) this.unmet--;
    else this.demand.note(nowMs);
    return true;
  }

  noteUnmet(nowMs: number): void {
    this.forgetOldUnmet(nowMs);
    this.unmet++;
    this.unmetAtMs = nowMs;
    this.demand.note(nowMs);
  }

  nextRequest(nowMs: number): protocol.GrantRequest | null {
    if (this.pendingSentMs !== null) return null;
    if (nowMs - this.lastSentMs < constants.GRANT_REQUEST_SPACING_MS) {
      return null;
    }
    const tokens = nowMs < this.askAgainMs ? 0 : this.wanted(nowMs);
    // An organisation with little demand holds nothing in advance, so its
    // report cannot wait for a refill: its bucket fills only after it.
    const reports = this.spent > 0 && !this.expectsDemand(nowMs);
    if (tokens === 0 && !reports) return null;
    const request: protocol.GrantRequest = {
      kind: 'grant',
      organisation: this.organisation,
      holder: this.holder,
      tokens,
      spent: this.spent,
      sequence: ++this.sequence,
    };
    this.spent = 0;
    this.pendingSentMs = nowMs;
    this.lastSentMs = nowMs;
    return request;
  }

  recordAnswer(
    answer: protocol.GrantAnswer,
    requestSentMs: number,
    nowMs: number,
  ): void {
    const sentMs = this.pendingSentMs;
    // An answer to a request that was given up is worth nothing.
    if (sentMs === null || requestSentMs < sentMs) return;
    this.pendingSentMs = null;
    if (answer.tokens > 0) {
      this.grants.push({
        tokens: answer.tokens,
        endMs: sentMs + this.lifetimeMs,
      });
      this.dropEnded(nowMs);
    }
    this.askAgainMs = nowMs + answer.retryAfterMs;
  }

  recordLoss(_nowMs: number): void {
    if (this.pendingSentMs === null) return;
    this.pendingSentMs = null;
    this.sequence++;
  }

  takeReturn(nowMs: number): protocol.GrantReturn | null {
    this.dropEnded(nowMs);
    this.recordLoss(nowMs);
    const unspent = this.held;
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

  private expectsDemand(nowMs: number): boolean {
    return this.demand.expected(constants.GRANT_COVERAGE_MS, nowMs) >= 1;
  }

  /** Tokens to ask for now. */
  private wanted(nowMs: number): number {
    this.dropEnded(nowMs);
    this.forgetOldUnmet(nowMs);
    const held = this.held;
    const missing = Math.max(0, this.unmet - held);
    if (!this.expectsDemand(nowMs)) return missing;
    const target = Math.ceil(
      this.demand.expected(constants.GRANT_COVERAGE_MS, nowMs),
    );
    return held < target / 2 ? Math.max(target - held, missing) : missing;
  }

  private dropEnded(nowMs: number): void {
    if (this.grants.every(grant => nowMs < grant.endMs)) return;
    this.grants = this.grants.filter(grant => nowMs < grant.endMs);
  }

  private forgetOldUnmet(nowMs: number): void {
    if (nowMs - this.unmetAtMs > constants.UNMET_DEMAND_MS) this.unmet = 0;
  }
}
