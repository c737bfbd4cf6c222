/**
 * Share of the fleet's ratio for calls that may have run. Their own calls
 * count as repeats at the services below, so that a chain of hops adds up.
 */
const REPEAT_RATIO_SHARE = 0.2;

/** Share of the ratio for calls that a backend server refused unrun. */
const RESEND_RATIO_SHARE = 0.5;

/** Share of the fleet's slack that all hosts together spend on each kind. */
const SLACK_SHARE = 0.2;

/** Attempts that may follow each other at once on one host. */
const MINIMUM_CAPACITY = 2;

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
  private readonly repeats: EarnedTokens;
  private readonly resends: EarnedTokens;

  constructor(
    settings: RetryBudgetSettings,
    hostCount: () => number,
    nowMs: number,
  ) {
    const slackPart = () =>
      (settings.slack * SLACK_SHARE) / Math.max(1, hostCount());
    const {ratio, windowMs} = settings;
    this.repeats = new EarnedTokens(
      ratio * REPEAT_RATIO_SHARE,
      slackPart,
      windowMs,
      nowMs,
    );
    this.resends = new EarnedTokens(
      ratio * RESEND_RATIO_SHARE,
      slackPart,
      windowMs,
      nowMs,
    );
  }

  noteFirstAttempt(nowMs: number): void {
    this.repeats.earn(nowMs);
    this.resends.earn(nowMs);
  }

  /** Whether a call that may have run may be sent once more. */
  tryRepeat(nowMs: number): boolean {
    return this.repeats.spend(nowMs);
  }

  /** Whether a call that a backend server refused may go to another one. */
  tryResend(nowMs: number): boolean {
    return this.resends.spend(nowMs);
  }
}

class EarnedTokens {
  private tokens: number;

  constructor(
    private readonly perAttempt: number,
    private readonly slackPart: () => number,
    private readonly windowMs: number,
    private updatedMs: number,
  ) {
    this.tokens = slackPart();
  }

  earn(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.perAttempt);
  }

  spend(nowMs: number): boolean {
    this.refill(nowMs);
    // Sums of a ratio such as 0.04 miss whole numbers by rounding errors.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    this.add((this.slackPart() * elapsedMs) / this.windowMs);
  }

  private add(tokens: number): void {
    const capacity = Math.max(MINIMUM_CAPACITY, this.slackPart());
    this.tokens = Math.min(this.tokens + tokens, capacity);
  }
}
