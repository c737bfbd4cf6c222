import type * as runtime from '@camphorwharf/runtime';

/** How a call to a target ended, as far as the choice of targets goes. */
export type TargetResult = 'succeeded' | 'failed' | 'overloaded' | 'cancelled';

/** Consecutive failures after which a target is ejected. */
const EJECTION_FAILURE_THRESHOLD = 5;

/** Length of the first ejection; it doubles with each further one. */
const EJECTION_MINIMUM_MS = 250;

/** Longest ejection; below the 2 s in which the fleet recovers. */
const EJECTION_MAXIMUM_MS = 1_000;

/** Weight of a new latency observation. */
const LATENCY_WEIGHT = 0.1;

/** Latency assumed before the first observation. */
const INITIAL_LATENCY_MS = 5;

/** Observations older than this no longer count against a target. */
const LATENCY_TTL_MS = 2_000;

/** What this daemon observed of one target. */
export class TargetHealth {
  inFlight = 0;
  lastUsedMs = -Infinity;
  private latencyMs = INITIAL_LATENCY_MS;
  private latencyAtMs = -Infinity;
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntilMs = -Infinity;
  /** A call that tests the target after its ejection is in flight. */
  private probing = false;

  /** Expected wait, for comparing targets; lower is better. */
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

  /** Jitter keeps senders from returning to a target all at once. */
  private eject(nowMs: number, random: runtime.RandomSource): void {
    // Calls that were in flight at the ejection do not lengthen it.
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
