import type * as interfaces from './interfaces.js';

/** Maximum number of consecutive retries without first attempts. */
const TOKEN_CAPACITY = 10;

/**
 * Refill that is independent of traffic. Without it a service with few calls
 * would have no retries long after an overload.
 */
const MINIMUM_REFILL_PER_SECOND = 0.5;

/**
 * Limit of packages/daemon on the retries that this process sends to one
 * service: a token bucket that first attempts fill and retries empty. The
 * counterpart in packages/host-daemon is `FleetRetryBudget`.
 */
export class ServiceRetryRatio implements interfaces.RetryRatio {
  private tokens: number;
  private refilledMs: number | null = null;

  constructor(private readonly ratio: number) {
    this.tokens = ratio > 0 ? 1 : 0;
  }

  noteFirstAttempt(nowMs: number): void {
    this.refill(nowMs);
    this.addTokens(this.ratio);
  }

  tryRetry(nowMs: number): boolean {
    this.refill(nowMs);
    // Tolerates rounding errors in sums of ratios such as 0.1.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.refilledMs ?? nowMs));
    this.refilledMs = nowMs;
    if (this.ratio > 0) {
      this.addTokens((elapsedMs / 1_000) * MINIMUM_REFILL_PER_SECOND);
    }
  }

  private addTokens(tokens: number): void {
    this.tokens = Math.min(TOKEN_CAPACITY, this.tokens + tokens);
  }
}
