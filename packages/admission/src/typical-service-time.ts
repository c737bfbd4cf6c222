/**
 * An estimate without a new sample for this long no longer refuses calls;
 * otherwise a service that was slow once would get no call to correct it.
 */
const EXPIRES_AFTER_MS = 1_000;

/** Part of the estimate by which one sample moves it. */
const STEP = 0.05;

/** Follows the median service time of a target. */
export class TypicalServiceTime {
  private estimateMs = 0;
  private lastSampleMs = Number.NEGATIVE_INFINITY;

  record(serviceTimeMs: number, nowMs: number): void {
    if (!(serviceTimeMs >= 0)) return;
    const expired = nowMs - this.lastSampleMs > EXPIRES_AFTER_MS;
    this.lastSampleMs = nowMs;
    if (expired || this.estimateMs === 0) {
      this.estimateMs = serviceTimeMs;
    } else if (serviceTimeMs > this.estimateMs) {
      this.estimateMs *= 1 + STEP;
    } else {
      this.estimateMs /= 1 + STEP;
    }
  }

  /** Zero while nothing is known. */
  currentMs(nowMs: number): number {
    return nowMs - this.lastSampleMs > EXPIRES_AFTER_MS ? 0 : this.estimateMs;
  }
}
