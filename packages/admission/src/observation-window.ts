/** A window closes after this many samples and this time, whichever is last. */
const MINIMUM_SAMPLES = 32;
const MINIMUM_MS = 50;

/** A window with few samples still closes after this time. */
const MAXIMUM_MS = 1_000;

/** What one window showed. */
export interface Observation {
  /** Mean service time of the calls that succeeded. */
  readonly meanMs: number;
  /** Whether the limit kept calls waiting for most of the window. */
  readonly saturated: boolean;
  /** Largest number of calls in flight. */
  readonly peakInFlight: number;
}

/** Collects service times while the concurrency limit stays the same. */
export class ObservationWindow {
  private collectFromMs: number;
  private samples = 0;
  private sumMs = 0;
  private atLimit = 0;
  private starts = 0;
  private peak = 0;

  /** Samples before `collectFromMs` belong to calls of the limit before. */
  constructor(collectFromMs: number) {
    this.collectFromMs = collectFromMs;
  }

  noteStart(inFlight: number, limit: number): void {
    this.starts++;
    if (inFlight >= limit) this.atLimit++;
    this.peak = Math.max(this.peak, inFlight);
  }

  noteSuccess(serviceTimeMs: number, nowMs: number): void {
    if (nowMs < this.collectFromMs) return;
    this.samples++;
    this.sumMs += serviceTimeMs;
  }

  /** Returns null while the window must stay open. */
  close(nowMs: number): Observation | null {
    const elapsedMs = nowMs - this.collectFromMs;
    const enough = this.samples >= MINIMUM_SAMPLES && elapsedMs >= MINIMUM_MS;
    const late = this.samples > 0 && elapsedMs >= MAXIMUM_MS;
    if (!enough && !late) return null;
    return {
      meanMs: this.sumMs / this.samples,
      saturated: this.atLimit * 2 > this.starts,
      peakInFlight: this.peak,
    };
  }
}
