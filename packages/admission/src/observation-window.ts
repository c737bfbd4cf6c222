/** A window stays open for at least this time. */
const MINIMUM_MS = 50;

/** A window with few samples still closes after this time. */
const MAXIMUM_MS = 1_000;

/** Samples kept of one window; more would not change the decision. */
const MAXIMUM_SAMPLES = 256;

/**
 * A queue behind the slots delays every call, the quickest ones as well, and
 * the quickest calls vary much less than the mean.
 */
const QUICK_PART = 0.1;

/** What one window showed. */
export interface Observation {
  /** Mean service time of the calls that succeeded. */
  readonly meanMs: number;
  /** Service time below which the quickest tenth of the calls lies. */
  readonly quickMs: number;
  /** Whether a good part of the calls started at the limit. */
  readonly saturated: boolean;
}

/** Collects service times while the concurrency limit stays the same. */
export class ObservationWindow {
  private readonly samples: number[] = [];
  private atLimit = 0;
  private starts = 0;

  /** Samples before `collectFromMs` belong to calls of the limit before. */
  constructor(
    private readonly collectFromMs: number,
    private readonly minimumSamples: number,
  ) {}

  noteStart(inFlight: number, limit: number): void {
    this.starts++;
    if (inFlight >= limit) this.atLimit++;
  }

  noteSuccess(serviceTimeMs: number, nowMs: number): void {
    if (nowMs < this.collectFromMs) return;
    if (this.samples.length < MAXIMUM_SAMPLES) this.samples.push(serviceTimeMs);
  }

  /** Returns null while the window must stay open. */
  close(nowMs: number): Observation | null {
    const elapsedMs = nowMs - this.collectFromMs;
    const enough =
      this.samples.length >= this.minimumSamples && elapsedMs >= MINIMUM_MS;
    const late = this.samples.length > 0 && elapsedMs >= MAXIMUM_MS;
    if (!enough && !late) return null;
    const {samples} = this;
    samples.sort((first, second) => first - second);
    return {
      meanMs: samples.reduce((sum, sample) => sum + sample, 0) / samples.length,
      quickMs: samples[Math.floor(QUICK_PART * samples.length)],
      saturated: this.atLimit * 4 > this.starts,
    };
  }
}
