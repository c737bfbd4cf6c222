/**
 * Fraction of the fleet's ratio for retries of calls that may have run. The
 * nested calls of such a retry count as retries at downstream services, so the
 * ratios of a chain of hops add up.
 */
const FAILURE_RATIO_SHARE = 0.2;

/**
 * Fraction of the ratio for retries of calls that a backend server refused
 * without running them.
 */
const REFUSAL_RATIO_SHARE = 0.5;

/**
 * Fraction of the fleet's slack that all hosts together spend on each kind of
 * retry.
 */
const SLACK_SHARE = 0.2;

/** Minimum number of retries that one host may make in immediate succession. */
const MINIMUM_BURST = 2;

export interface RetryBudgetSettings {
  /** Retries of the whole fleet per first attempt. */
  readonly ratio: number;
  /** Retries of the whole fleet beyond the ratio, per window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * One host's share of the retry budget of a service in packages/host-daemon.
 * First attempts fill it, and over each window a fraction of the slack divided
 * by the number of hosts. The counterpart in packages/daemon is
 * `ServiceRetryRatio`.
 */
export class FleetRetryBudget {
  private readonly failureRetries: EarnedTokenBucket;
  private readonly refusalRetries: EarnedTokenBucket;

  constructor(
    settings: RetryBudgetSettings,
    hostCount: () => number,
    nowMs: number,
  ) {
    const slackShare = () =>
      (settings.slack * SLACK_SHARE) / Math.max(1, hostCount());
    const {ratio, windowMs} = settings;
    this.failureRetries = new EarnedTokenBucket(
      ratio * FAILURE_RATIO_SHARE,
      slackShare,
      windowMs,
      nowMs,
    );
    this.refusalRetries = new EarnedTokenBucket(
      ratio * REFUSAL_RATIO_SHARE,
      slackShare,
      windowMs,
      nowMs,
    );
  }

  noteFirstAttempt(nowMs: number): void {
    this.failureRetries.earn(nowMs);
    this.refusalRetries.earn(nowMs);
  }

  /** Returns whether a call that may have run may be retried. */
  tryFailureRetry(nowMs: number): boolean {
    return this.failureRetries.spend(nowMs);
  }

  /** Returns the number of retries of refused calls that are left. */
  refusalTokens(nowMs: number): number {
    return this.refusalRetries.available(nowMs);
  }

  /**
   * Returns whether a call that a backend server refused may be sent to another
   * one.
   */
  tryRefusalRetry(nowMs: number): boolean {
    return this.refusalRetries.spend(nowMs);
  }
}

class EarnedTokenBucket {
  private tokens: number;

  constructor(
    private readonly tokensPerAttempt: number,
    private readonly slackShare: () => number,
    private readonly windowMs: number,
    private updatedMs: number,
  ) {
    this.tokens = slackShare();
  }

  earn(nowMs: number): void {
    this.refill(nowMs);
    this.addTokens(this.tokensPerAttempt);
  }

  available(nowMs: number): number {
    this.refill(nowMs);
    return this.tokens;
  }

  spend(nowMs: number): boolean {
    this.refill(nowMs);
    // Tolerates rounding errors in sums of ratios such as 0.04.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    this.addTokens((this.slackShare() * elapsedMs) / this.windowMs);
  }

  private addTokens(tokens: number): void {
    const capacity = Math.max(MINIMUM_BURST, this.slackShare());
    this.tokens = Math.min(this.tokens + tokens, capacity);
  }
}
