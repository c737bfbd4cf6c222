/** Minimum duration of a window. */
const MINIMUM_DURATION_MS = 50;

/** A window with fewer samples than required closes after this time. */
const MAXIMUM_DURATION_MS = 1_000;

/** Maximum number of samples per window; more would not change the decision. */
const MAXIMUM_SAMPLES = 256;

/**
 * The p10 service time is used because a queue behind the slots delays even the
 * fastest calls, and it varies much less than the mean.
 */
const LOW_QUANTILE = 0.1;

/** Statistics of one window. */
export interface Observation {
  /** Mean service time of successful calls. */
  readonly meanMs: number;
  /** 10th percentile of the service time of successful calls. */
  readonly p10Ms: number;
  /** Whether more than a quarter of the calls started at the limit. */
  readonly saturated: boolean;
}

/** Collects service times under a constant concurrency limit. */
export class ObservationWindow {
  private readonly samples: number[] = [];
  private startsAtLimit = 0;
  private starts = 0;

  /**
   * Samples before `collectFromMs` are ignored, because those calls started
   * under the previous limit.
   */
  constructor(
    private readonly collectFromMs: number,
    private readonly minimumSamples: number,
  ) {}

  noteStart(inFlight: number, limit: number): void {
    this.starts++;
    if (inFlight >= limit) this.startsAtLimit++;
  }

  noteSuccess(serviceTimeMs: number, nowMs: number): void {
    if (nowMs < this.collectFromMs) return;
    if (this.samples.length < MAXIMUM_SAMPLES) this.samples.push(serviceTimeMs);
  }

  /** Returns null while the window has to stay open. */
  close(nowMs: number): Observation | null {
    const elapsedMs = nowMs - this.collectFromMs;
    const hasEnoughSamples =
      this.samples.length >= this.minimumSamples &&
      elapsedMs >= MINIMUM_DURATION_MS;
    const hasTimedOut =
      this.samples.length > 0 && elapsedMs >= MAXIMUM_DURATION_MS;
    if (!hasEnoughSamples && !hasTimedOut) return null;
    const {samples} = this;
    samples.sort((first, second) => first - second);
    return {
      meanMs: samples.reduce((sum, sample) => sum + sample, 0) / samples.length,
      p10Ms: samples[Math.floor(LOW_QUANTILE * samples.length)],
      saturated: this.startsAtLimit * 4 > this.starts,
    };
  }
}
