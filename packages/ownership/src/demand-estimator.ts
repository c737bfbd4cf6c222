/** Estimates recent demand as an exponentially weighted arrival rate. */
export class DemandEstimator {
  private weight = 0;
  private updatedMs = -Infinity;

  constructor(private readonly averagingMs: number) {}

  recordArrival(nowMs: number): void {
    this.weight = this.decayedWeight(nowMs) + 1;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }

  /** Returns the number of arrivals expected within `spanMs`. */
  expectedArrivals(spanMs: number, nowMs: number): number {
    return (this.decayedWeight(nowMs) / this.averagingMs) * spanMs;
  }

  private decayedWeight(nowMs: number): number {
    if (this.weight === 0) return 0;
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    return this.weight * Math.exp(-elapsedMs / this.averagingMs);
  }
}
