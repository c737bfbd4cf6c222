/** Demand of the recent past, as an exponentially weighted rate. */
export class Demand {
  private weight = 0;
  private updatedMs = -Infinity;

  constructor(private readonly averagingMs: number) {}

  note(nowMs: number): void {
    this.weight = this.weightAt(nowMs) + 1;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
  }

  /** Arrivals expected in `spanMs`. */
  expected(spanMs: number, nowMs: number): number {
    return (this.weightAt(nowMs) / this.averagingMs) * spanMs;
  }

  private weightAt(nowMs: number): number {
    if (this.weight === 0) return 0;
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    return this.weight * Math.exp(-elapsedMs / this.averagingMs);
  }
}
