/**
 * Share of the fleet's ratio that each hop spends. The calls of a repeated
 * call count as repeats at the services below, so a chain of hops adds up.
 */
const RATIO_SHARE = 0.3;

/** Share of the fleet's slack that all hosts together spend. */
const SLACK_SHARE = 0.5;

export interface RetryBudgetSettings {
  /** Repeats that the fleet may make for each first attempt. */
  readonly ratio: number;
  /** Repeats that the fleet may make beyond the ratio in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * One host's part of the retry budget of a service. First attempts earn it,
 * and a part of the slack, divided by the hosts, refills it over a window.
 */
export class FleetRetryBudget {
  private tokens = 0;
  private updatedMs: number;

  constructor(
    private readonly settings: RetryBudgetSettings,
    private readonly hostCount: () => number,
    nowMs: number,
  ) {
    this.updatedMs = nowMs;
    this.tokens = this.slackPart();
  }

  noteFirstAttempt(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.settings.ratio * RATIO_SHARE);
  }

  tryRetry(nowMs: number): boolean {
    this.refill(nowMs);
    // Sums of a ratio such as 0.06 miss whole numbers by rounding errors.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    this.add((this.slackPart() * elapsedMs) / this.settings.windowMs);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.tokens + tokens, Math.max(2, this.slackPart()));
  }

  private slackPart(): number {
    return (this.settings.slack * SLACK_SHARE) / Math.max(1, this.hostCount());
  }
}
