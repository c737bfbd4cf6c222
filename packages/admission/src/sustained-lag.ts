/** Number of consecutive observations that have to show lag. */
const REQUIRED_OBSERVATIONS = 3;

/**
 * Minimum event loop lag over the last observations. A single pause, for
 * example for garbage collection, does not indicate a lack of CPU time.
 */
export class SustainedLag {
  private readonly recent: number[] = [];

  /** Adds an observation and returns the sustained lag, in milliseconds. */
  note(lagMs: number): number {
    this.recent.push(lagMs);
    if (this.recent.length > REQUIRED_OBSERVATIONS) this.recent.shift();
    return this.recent.length < REQUIRED_OBSERVATIONS
      ? 0
      : Math.min(...this.recent);
  }
}
