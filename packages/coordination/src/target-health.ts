import type * as runtime from '@camphorwharf/runtime';

/** How a call to a target ended, for the purpose of target selection. */
export type TargetResult = 'succeeded' | 'failed' | 'overloaded' | 'cancelled';

/** Consecutive failures after which a target is ejected. */
const EJECTION_FAILURE_THRESHOLD = 5;

/** Duration of the first ejection; it doubles with each consecutive one. */
const EJECTION_MINIMUM_MS = 250;

/** Maximum ejection duration, below the fleet's recovery time of 2 s. */
const EJECTION_MAXIMUM_MS = 1_000;

/** Weight of a new observation in the moving average of the latency. */
const LATENCY_WEIGHT = 0.1;

/** Latency assumed before the first observation. */
const INITIAL_LATENCY_MS = 5;

/** Time after the last observation from which the latency is ignored. */
const LATENCY_TTL_MS = 2_000;

/** Latency, load and failures of one target as observed by this daemon. */
export class TargetHealth {
  inFlight = 0;
  lastUsedMs = -Infinity;
  private latencyMs = INITIAL_LATENCY_MS;
  private latencyAtMs = -Infinity;
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntilMs = -Infinity;
  /** Whether a probe call after an ejection is in flight. */
  private probing = false;

  /** Expected wait for comparing targets, increased by recent failures. */
  cost(nowMs: number): number {
    const latency =
      nowMs - this.latencyAtMs > LATENCY_TTL_MS
        ? INITIAL_LATENCY_MS
        : this.latencyMs;
    return (this.inFlight + 1) * latency * (1 + this.consecutiveFailures);
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs || this.probing;
  }

  start(nowMs: number): void {
    this.inFlight++;
    this.lastUsedMs = nowMs;
    if (this.ejections > 0 && nowMs >= this.ejectedUntilMs) this.probing = true;
  }

  end(
    result: TargetResult,
    latencyMs: number,
    nowMs: number,
    random: runtime.RandomSource,
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.probing = false;
    switch (result) {
      case 'succeeded':
        this.consecutiveFailures = 0;
        this.ejections = 0;
        this.latencyMs += LATENCY_WEIGHT * (latencyMs - this.latencyMs);
        this.latencyAtMs = nowMs;
        break;
      case 'failed':
        this.consecutiveFailures++;
        if (
          this.ejections > 0 ||
          this.consecutiveFailures >= EJECTION_FAILURE_THRESHOLD
        ) {
          this.eject(nowMs, random);
        }
        break;
      case 'overloaded':
      case 'cancelled':
        break;
    }
  }

  /** Jitter prevents all senders from returning to a target simultaneously. */
  private eject(nowMs: number, random: runtime.RandomSource): void {
    // Failures of calls already in flight do not extend the ejection.
    if (nowMs < this.ejectedUntilMs) return;
    const durationMs = Math.min(
      EJECTION_MAXIMUM_MS,
      EJECTION_MINIMUM_MS * 2 ** this.ejections,
    );
    this.ejections++;
    this.consecutiveFailures = 0;
    this.ejectedUntilMs = nowMs + durationMs * (0.75 + 0.5 * random.next());
  }
}
