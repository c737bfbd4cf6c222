/** Observations that all have to be late. */
const OBSERVATIONS = 3;

/**
 * How late an event loop has been in each of the last observations. A single
 * pause, for example for a collection of garbage, is no lack of processor
 * time.
 */
export class SustainedLag {
  private readonly recent: number[] = [];

  /** Takes in one observation; returns the lag in milliseconds. */
  note(lagMs: number): number {
    this.recent.push(lagMs);
    if (this.recent.length > OBSERVATIONS) this.recent.shift();
    return this.recent.length < OBSERVATIONS ? 0 : Math.min(...this.recent);
  }
}
