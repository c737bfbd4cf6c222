import * as observation from './observation-window.js';

/** Limit of a target about which nothing is known, and after a cold start. */
export const INITIAL_LIMIT = 4;

/** Keeps a few calls in flight, so that an improvement is always noticed. */
const MINIMUM_LIMIT = 2;

/**
 * Service time over the baseline up to which the limit grows. The mean of a
 * window varies by about a sixth, so a narrower range would follow noise.
 */
const FREE_RATIO = 1.25;

/** Service time over the baseline above which the limit falls. */
const TOLERATED_RATIO = 1.6;

/** A rise this large may be a slower service as well as a queue: measure. */
const SUSPECT_RATIO = 2.2;

const RAMP_GROWTH = 1.5;
const GROWTH = 1.1;
const LARGEST_FALL = 0.7;
const OVERLOAD_FALL = 0.9;

/** Part of the limit in force while the baseline is measured again. */
const PROBE_PART = 0.7;

/** A saturated target is measured again this often. */
const PROBE_EVERY_MS = 5_000;

/**
 * With a queue behind the slots the service time falls with the limit, to
 * `PROBE_PART`; without one it stays. This is the midpoint.
 */
const PROBE_MIDPOINT = 0.85;

/** A load report counts this long. */
const REPORT_LIFETIME_MS = 500;

interface Probe {
  readonly limit: number;
  readonly meanMs: number;
}

/**
 * Concurrency limit learned from service times and overload failures. The
 * baseline is the mean service time without a queue behind the slots of the
 * backend server; it is measured at low load, and by probing with a lower
 * limit when the target is saturated.
 */
export class ConcurrencyLimit {
  private learned = INITIAL_LIMIT;
  private maximum: number;
  private ramping = true;
  private baselineMs = 0;
  private meanMs = 0;
  private probe: Probe | null = null;
  private probedMs = Number.NEGATIVE_INFINITY;
  private overloadedUntilMs = Number.NEGATIVE_INFINITY;
  private reportedFullUntilMs = Number.NEGATIVE_INFINITY;
  private window = new observation.ObservationWindow(0);

  constructor(maximum: number) {
    this.maximum = Math.max(1, maximum);
  }

  /** The limit in force, a whole number. */
  get value(): number {
    const part = this.probe ? PROBE_PART : 1;
    const limit = Math.max(MINIMUM_LIMIT, Math.floor(this.learned * part));
    return Math.min(limit, this.maximum);
  }

  /** Mean service time without queueing; zero while nothing is known. */
  get baseline(): number {
    return this.baselineMs;
  }

  setMaximum(maximum: number): void {
    this.maximum = Math.max(1, Math.floor(maximum));
  }

  beginColdStart(nowMs: number): void {
    this.learned = INITIAL_LIMIT;
    this.ramping = true;
    this.baselineMs = 0;
    this.probe = null;
    this.window = new observation.ObservationWindow(nowMs);
  }

  noteStart(inFlight: number): void {
    this.window.noteStart(inFlight, this.value);
  }

  noteSuccess(serviceTimeMs: number, nowMs: number): void {
    this.window.noteSuccess(serviceTimeMs, nowMs);
  }

  /** The backend server refused a call for overload. */
  noteOverload(inFlight: number, nowMs: number): void {
    if (nowMs < this.overloadedUntilMs) return;
    // Later refusals within one service time have the same cause.
    this.overloadedUntilMs = nowMs + Math.max(20, this.meanMs);
    this.ramping = false;
    this.probe = null;
    this.learned = Math.min(this.learned, inFlight + 1) * OVERLOAD_FALL;
    this.restart(nowMs);
  }

  /** A full target grows no further; a report never raises the limit. */
  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void {
    if (slots > 0 && inFlight >= slots) {
      this.reportedFullUntilMs = nowMs + REPORT_LIFETIME_MS;
    }
  }

  advance(nowMs: number): void {
    const seen = this.window.close(nowMs);
    if (!seen) return;
    if (this.probe) this.endProbe(this.probe, seen, nowMs);
    else if (seen.saturated) this.adjust(seen, nowMs);
    else this.measureUnsaturated(seen);
    this.meanMs = seen.meanMs;
    this.learned = Math.min(
      this.maximum,
      Math.max(MINIMUM_LIMIT, this.learned),
    );
    this.restart(nowMs);
  }

  private adjust(seen: observation.Observation, nowMs: number): void {
    if (this.baselineMs === 0) this.baselineMs = seen.meanMs;
    this.lowerBaseline(seen.meanMs);
    const ratio = seen.meanMs / this.baselineMs;
    const suspect = ratio > SUSPECT_RATIO;
    if (suspect || nowMs - this.probedMs > PROBE_EVERY_MS) {
      if (!this.ramping || suspect) {
        this.ramping = false;
        this.probe = {limit: this.learned, meanMs: seen.meanMs};
        this.probedMs = nowMs;
        return;
      }
    }
    if (ratio <= FREE_RATIO) {
      if (nowMs < this.reportedFullUntilMs && !this.ramping) return;
      this.grow(this.ramping ? RAMP_GROWTH : GROWTH);
    } else if (ratio > TOLERATED_RATIO) {
      this.ramping = false;
      this.learned *= Math.max(LARGEST_FALL, TOLERATED_RATIO / ratio);
    }
  }

  private grow(factor: number): void {
    this.learned = Math.max(this.learned + 1, this.learned * factor);
  }

  private endProbe(
    probe: Probe,
    seen: observation.Observation,
    nowMs: number,
  ): void {
    this.probe = null;
    this.probedMs = nowMs;
    if (seen.meanMs > probe.meanMs * PROBE_MIDPOINT) {
      // No queue at either limit: this is the service time.
      this.baselineMs = (seen.meanMs + probe.meanMs) / 2;
    } else {
      // The lower limit gave the same throughput with less queueing.
      this.baselineMs = Math.min(this.baselineMs, seen.meanMs);
      const queued = probe.meanMs / seen.meanMs;
      this.learned = Math.max(
        probe.limit * PROBE_PART,
        (probe.limit / queued) * FREE_RATIO,
      );
    }
  }

  private measureUnsaturated(seen: observation.Observation): void {
    if (this.baselineMs === 0) {
      this.baselineMs = seen.meanMs;
    } else if (seen.peakInFlight * 2 <= this.learned) {
      this.baselineMs += (seen.meanMs - this.baselineMs) / 4;
    } else {
      this.lowerBaseline(seen.meanMs);
    }
  }

  private lowerBaseline(meanMs: number): void {
    if (meanMs >= this.baselineMs) return;
    // A small difference is mostly noise; a large one is a healed service.
    const step = meanMs < this.baselineMs * LARGEST_FALL ? 1 : 0.25;
    this.baselineMs += (meanMs - this.baselineMs) * step;
  }

  /** Skips the calls that started under the limit before. */
  private restart(nowMs: number): void {
    this.window = new observation.ObservationWindow(nowMs + this.meanMs);
  }
}
