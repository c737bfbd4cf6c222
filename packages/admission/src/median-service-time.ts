/**
 * An estimate expires after this time without a sample. It would otherwise
 * refuse every call to a service that was slow once, and no call would ever
 * correct it.
 */
const EXPIRES_AFTER_MS = 1_000;

/** Relative step by which each sample moves the estimate. */
const STEP_FACTOR = 0.05;

/** Streaming estimate of the median service time of a target. */
export class MedianServiceTime {
  private estimateMs = 0;
  private lastSampleMs = Number.NEGATIVE_INFINITY;

  record(serviceTimeMs: number, nowMs: number): void {
    if (!(serviceTimeMs >= 0)) return;
    const expired = nowMs - this.lastSampleMs > EXPIRES_AFTER_MS;
    this.lastSampleMs = nowMs;
    if (expired || this.estimateMs === 0) {
      this.estimateMs = serviceTimeMs;
    } else if (serviceTimeMs > this.estimateMs) {
      this.estimateMs *= 1 + STEP_FACTOR;
    } else {
      this.estimateMs /= 1 + STEP_FACTOR;
    }
  }

  /** Returns 0 while there is no current estimate. */
  currentMs(nowMs: number): number {
    return nowMs - this.lastSampleMs > EXPIRES_AFTER_MS ? 0 : this.estimateMs;
  }
}
