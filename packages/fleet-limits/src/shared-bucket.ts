import type * as runtime from '@camphorwharf/runtime';

/** Time constant of the moving average of demand, in milliseconds. */
const DEMAND_WINDOW_MS = 1_000;

/**
 * Time during which other hosts may use the bucket before they report it, in
 * milliseconds.
 */
const REPORT_LAG_MS = 400;

/** Maximum reserve, as a fraction of the burst. */
const MAXIMUM_RESERVE_SHARE = 0.5;

/**
 * Time for which this host's unused share of the rate accumulates, in
 * milliseconds.
 */
const ALLOWANCE_WINDOW_MS = 500;

/**
 * Minimum share of the rate of a host without demand, as a fraction of an equal
 * share.
 */
const MINIMUM_SHARE_FACTOR = 0.5;

/**
 * Part of the burst that the unused shares of all hosts together may amount to.
 */
const MAXIMUM_IDLE_SHARE = 0.4;

/**
 * Initial fill of a bucket, as the time in which the rate provides it, in
 * milliseconds.
 */
const INITIAL_FILL_MS = 500;

/** The largest number that a generator returns, nearly. */
const MAXIMUM_DRAW = 1 - 2 ** -32;

/** What taking a token would find. */
export interface BucketPreview {
  /** Tokens left; negative after an overdraft. */
  readonly tokens: number;
  /** Whether hosts are restricted to their shares of the rate. */
  readonly isScarce: boolean;
  /** Probability that a token is granted. */
  readonly grantedShare: number;
  readonly retryAfterMs: number;
}

/**
 * One host's copy of a token bucket that is shared by the whole fleet. Each
 * host debits its own use immediately and the use of other hosts when they
 * report it, so that every copy converges to the sum over the fleet. While the
 * bucket is nearly empty, each host is restricted to its share of the rate, in
 * proportion to its demand, so that use that has not been reported yet cannot
 * overdraw the bucket.
 */
export class SharedBucket {
  private level: number;
  private allowance = 0;
  private ownDemand = 0;
  private othersDemand = 0;
  private servedSeconds = 0;
  private updatedMs: number;

  constructor(
    private ratePerSecond: number,
    private burst: number,
    private readonly random: runtime.RandomSource,
    nowMs: number,
  ) {
    this.level = Math.min(burst, (ratePerSecond * INITIAL_FILL_MS) / 1_000);
    this.updatedMs = nowMs;
  }

  /** Requests per second attempted on this host. */
  get demand(): number {
    return this.ownDemand;
  }

  /**
   * Seconds since the start, weighted by the fraction of the demand that the
   * rate could serve. A host is estimated to have used its demand multiplied by
   * the difference between two readings.
   */
  get servedTime(): number {
    return this.servedSeconds;
  }

  get tokens(): number {
    return this.level;
  }

  reconfigure(ratePerSecond: number, burst: number): void {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** Adopts the level of a host that has counted for longer. */
  adoptLevel(level: number): void {
    this.level = Math.min(this.burst, level);
  }

  /**
   * Takes one token; returns false if none is available. `reportingShare` is
   * the fraction of the fleet that reports to this host; `equalShare` is one
   * host's fraction of the fleet.
   */
  take(reportingShare: number, equalShare: number, nowMs: number): boolean {
    this.advance(reportingShare, equalShare, nowMs);
    this.ownDemand += 1_000 / DEMAND_WINDOW_MS;
    if (this.level < 1) return false;
    if (this.level > this.reserve) {
      this.level -= 1;
      return true;
    }
    if (!this.takeAllowance()) return false;
    this.level -= 1;
    return true;
  }

  /**
   * Takes one token of this host's share. In a large fleet the share is a
   * fraction of a token, which is then granted with that probability, so that
   * all hosts together grant the sum of their shares.
   */
  private takeAllowance(): boolean {
    if (this.allowance >= 1) {
      this.allowance -= 1;
      return true;
    }
    const granted = this.random.next() < this.allowance;
    this.allowance = 0;
    return granted;
  }

  /**
   * Returns the result of taking one token now, without taking it and without a
   * random number.
   */
  preview(
    reportingShare: number,
    equalShare: number,
    nowMs: number,
  ): BucketPreview {
    const take = (draw: number) =>
      this.copy(draw).take(reportingShare, equalShare, nowMs);
    const advanced = this.copy(0);
    advanced.advance(reportingShare, equalShare, nowMs);
    const chance = Math.min(1, Math.max(0, advanced.allowance));
    return {
      tokens: advanced.level,
      isScarce: advanced.isScarce,
      grantedShare: take(MAXIMUM_DRAW) ? 1 : take(0) ? chance : 0,
      retryAfterMs: advanced.retryAfterMs(),
    };
  }

  /** Refunds a token whose request will not be run. */
  refund(): void {
    this.level = Math.min(this.burst, this.level + 1);
  }

  /**
   * Debits use that has not been debited as an estimate; a negative amount is
   * credited.
   */
  debit(tokens: number): void {
    this.level = Math.min(this.burst, this.level - tokens);
  }

  setOthersDemand(requestsPerSecond: number): void {
    this.othersDemand = requestsPerSecond;
  }

  /** Applies a change of the demand of one other host. */
  adjustOthersDemand(requestsPerSecond: number): void {
    this.othersDemand = Math.max(0, this.othersDemand + requestsPerSecond);
  }

  /** Whether the level is so low that hosts are restricted to their shares. */
  get isScarce(): boolean {
    return this.level <= this.reserve;
  }

  /** Returns the time until a token may be available, in milliseconds. */
  retryAfterMs(): number {
    const missingTokens = Math.max(1, 1 - this.level);
    return this.ratePerSecond > 0
      ? (missingTokens * 1_000) / this.ratePerSecond
      : 1_000;
  }

  advance(reportingShare: number, equalShare: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    if (elapsedMs === 0) return;
    this.updatedMs = nowMs;
    const refill = (this.ratePerSecond * elapsedMs) / 1_000;
    const elapsedSeconds = elapsedMs / 1_000;
    const servedSeconds = this.servedFraction * elapsedSeconds;
    this.servedSeconds += servedSeconds;
    // Accounts for the estimated use of other hosts between their reports.
    // Silent hosts are assumed to use their equal shares.
    const othersUse = this.othersDemand * servedSeconds;
    this.level = Math.min(
      this.burst * reportingShare,
      this.level + refill * reportingShare - othersUse,
    );
    const share = this.demandShare(reportingShare, equalShare);
    const maximumAllowance = Math.max(
      this.burst * MAXIMUM_IDLE_SHARE * equalShare,
      (this.ratePerSecond * share * ALLOWANCE_WINDOW_MS) / 1_000,
    );
    this.allowance = Math.min(
      maximumAllowance,
      this.allowance + refill * share,
    );
    this.ownDemand *= Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  }

  /** Returns a copy with a generator that returns `draw` only. */
  private copy(draw: number): SharedBucket {
    const copy = Object.create(SharedBucket.prototype) as SharedBucket;
    return Object.assign(copy, this, {random: {next: () => draw}});
  }

  private get servedFraction(): number {
    const total = this.ownDemand + this.othersDemand;
    return total > this.ratePerSecond ? this.ratePerSecond / total : 1;
  }

  private get reserve(): number {
    return Math.min(
      this.burst * MAXIMUM_RESERVE_SHARE,
      ((this.ownDemand + this.othersDemand) * REPORT_LAG_MS) / 1_000,
    );
  }

  private demandShare(reportingShare: number, equalShare: number): number {
    const total = this.ownDemand + this.othersDemand;
    const share = total > 0 ? this.ownDemand / total : 0;
    return reportingShare * Math.max(share, equalShare * MINIMUM_SHARE_FACTOR);
  }
}
