/** Demand is averaged over about this time, in milliseconds. */
const DEMAND_WINDOW_MS = 1_000;

/** Other hosts may use the bucket unseen for about this time. */
const REPORT_LAG_MS = 400;

/** The reserve is at most this part of the burst. */
const MAXIMUM_RESERVE_SHARE = 0.5;

/** The own part of the rate is saved for at most this time. */
const PART_SAVING_MS = 500;

/** A host that has asked for nothing yet may take this part of an equal one. */
const MINIMUM_PART = 0.5;

/** A fresh bucket holds what the rate gives in this time. */
const INITIAL_FILL_MS = 500;

/**
 * One host's copy of a bucket that the whole fleet draws from. Each host
 * debits its own use at once and the use of the others when they report it,
 * so that every copy follows the sum over the fleet. While the bucket is
 * nearly empty, each host takes no more than its part of the rate, in
 * proportion to its demand, so that reports under way cannot add up to an
 * overdraft.
 */
export class SharedBucket {
  private level: number;
  private part = 0;
  private ownDemand = 0;
  private othersDemand = 0;
  private servedSeconds = 0;
  private updatedMs: number;

  constructor(
    private ratePerSecond: number,
    private burst: number,
    nowMs: number,
  ) {
    this.level = Math.min(burst, (ratePerSecond * INITIAL_FILL_MS) / 1_000);
    this.updatedMs = nowMs;
  }

  /** Requests per second that this host was asked for. */
  get demand(): number {
    return this.ownDemand;
  }

  /**
   * Seconds since the start, each weighted by the part of the demand that the
   * rate could serve. A host with a demand is taken to have used its demand
   * times the difference between two readings.
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

  /** Takes the level of a host that has counted for longer. */
  adoptLevel(level: number): void {
    this.level = Math.min(this.burst, level);
  }

  /**
   * Takes one token. `heardShare` is the part of the fleet that reports to
   * this host; `equalPart` is the part of one host.
   */
  take(heardShare: number, equalPart: number, nowMs: number): boolean {
    this.advance(heardShare, equalPart, nowMs);
    this.ownDemand += 1_000 / DEMAND_WINDOW_MS;
    if (this.level < 1) return false;
    if (this.level > this.reserve) {
      this.level -= 1;
      return true;
    }
    if (this.part < 1) return false;
    this.part -= 1;
    this.level -= 1;
    return true;
  }

  /** Returns a token whose request will never run. */
  giveBack(): void {
    this.level = Math.min(this.burst, this.level + 1);
  }

  /** Debits use that was not presumed; a negative amount credits. */
  debit(tokens: number): void {
    this.level = Math.min(this.burst, this.level - tokens);
  }

  setOthersDemand(requestsPerSecond: number): void {
    this.othersDemand = requestsPerSecond;
  }

  /** Takes in that the demand of one other host has changed. */
  addOthersDemand(requestsPerSecond: number): void {
    this.othersDemand = Math.max(0, this.othersDemand + requestsPerSecond);
  }

  /** Whether the bucket is so low that hosts keep to their parts. */
  get isScarce(): boolean {
    return this.level <= this.reserve;
  }

  /** When a token may be there again, in milliseconds. */
  retryAfterMs(): number {
    const missing = Math.max(1, 1 - this.level);
    return this.ratePerSecond > 0
      ? (missing * 1_000) / this.ratePerSecond
      : 1_000;
  }

  advance(heardShare: number, equalPart: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    if (elapsedMs === 0) return;
    this.updatedMs = nowMs;
    const refill = (this.ratePerSecond * elapsedMs) / 1_000;
    const elapsedSeconds = elapsedMs / 1_000;
    const servedSeconds = this.servedPart * elapsedSeconds;
    this.servedSeconds += servedSeconds;
    // The others use the bucket between their reports, and hosts that are
    // not heard are taken to use their equal parts.
    const others = this.othersDemand * servedSeconds;
    this.level = Math.min(
      this.burst * heardShare,
      this.level + refill * heardShare - others,
    );
    const share = this.demandShare(heardShare, equalPart);
    const savedMost = Math.max(
      1,
      (this.ratePerSecond * share * PART_SAVING_MS) / 1_000,
    );
    this.part = Math.min(savedMost, this.part + refill * share);
    this.ownDemand *= Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  }

  private get servedPart(): number {
    const total = this.ownDemand + this.othersDemand;
    return total > this.ratePerSecond ? this.ratePerSecond / total : 1;
  }

  private get reserve(): number {
    return Math.min(
      this.burst * MAXIMUM_RESERVE_SHARE,
      ((this.ownDemand + this.othersDemand) * REPORT_LAG_MS) / 1_000,
    );
  }

  private demandShare(heardShare: number, equalPart: number): number {
    const total = this.ownDemand + this.othersDemand;
    const share = total > 0 ? this.ownDemand / total : 0;
    return heardShare * Math.max(share, equalPart * MINIMUM_PART);
  }
}
