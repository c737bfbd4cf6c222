import type * as interfaces from './interfaces.js';

/** Most retries that may follow each other without first attempts. */
const MAXIMUM_TOKENS = 10;

/**
 * Refill that does not depend on traffic. Without it a service with few
 * calls would stay without retries long after an overload.
 */
const MINIMUM_REFILL_PER_SECOND = 0.5;

/** Token bucket that first attempts fill and retries empty. */
export class ServiceRetryRatio implements interfaces.RetryRatio {
  private tokens: number;
  private refilledMs: number | null = null;

  constructor(private readonly ratio: number) {
    this.tokens = ratio > 0 ? 1 : 0;
  }

  noteFirstAttempt(nowMs: number): void {
    this.refill(nowMs);
    this.add(this.ratio);
  }

  tryRetry(nowMs: number): boolean {
    this.refill(nowMs);
    // Sums of a ratio such as 0.1 miss whole numbers by rounding errors.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.refilledMs ?? nowMs));
    this.refilledMs = nowMs;
    if (this.ratio > 0) {
      this.add((elapsedMs / 1_000) * MINIMUM_REFILL_PER_SECOND);
    }
  }

  private add(tokens: number): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + tokens);
  }
}
