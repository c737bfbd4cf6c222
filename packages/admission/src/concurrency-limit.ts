import * as observation from './observation-window.js';

/** Limit of a target about which nothing is known, and after a cold start. */
export const INITIAL_LIMIT = 4;

/** Keeps a few calls in flight, so that an improvement is always noticed. */
const MINIMUM_LIMIT = 2;

/** Part of the service time spent behind the slots up to which it grows. */
const FREE_WAIT = 0.12;

/**
 * Part above which the limit is lowered for a probe. A slower service looks
 * the same as a queue, so the limit falls only if the probe shows a queue.
 */
const SUSPECT_WAIT = 0.3;

/** The part that the limit aims at when it falls. */
const WANTED_WAIT = 0.17;

/** Growth of the first window and the most that a series of them reaches. */
const GROWTH = 1.1;
const LARGEST_GROWTH = 1.5;

/** Samples of one window: as many as the limit, within these bounds. */
const MINIMUM_SAMPLES = 8;
const MAXIMUM_SAMPLES = 32;

/** Most that one probe lowers the limit, since its verdict may be wrong. */
const LARGEST_FALL = 0.8;
const OVERLOAD_FALL = 0.9;

/** Part of the limit in force while the baseline is measured again. */
const PROBE_PART = 0.8;

/**
 * A saturated target is measured again this often, and more often while the
 * baseline may be too low.
 */
const PROBE_EVERY_MS = 5_000;
const PROBE_UNDECIDED_MS = 1_500;

/** Parts by which one window moves the baseline. */
const BASELINE_STEP = 0.25;
const HEALED_STEP = 0.7;
const FREE_STEP = 0.1;

/** A fall of the quick service time to this part is more than noise. */
const HEALED_PART = 0.6;

/** A load report counts this long. */
const REPORT_LIFETIME_MS = 500;

/** What was in force and seen before the limit was lowered for a probe. */
interface Probe {
  readonly limit: number;
  readonly seen: observation.Observation;
}

/**
 * Concurrency limit learned from service times and overload failures. The
 * baseline is the service time of the quickest calls without a queue behind
 * the slots of the backend server; it is measured while the limit is not
 * reached, and by probing with a lower limit when the target is saturated.
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
  private window = new observation.ObservationWindow(0, MINIMUM_SAMPLES);
  /** Growth of the last window; 1 when it did not grow. */
  private growth = 1;

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

  /** Whether the limit rises, so that more calls will soon be started. */
  get isGrowing(): boolean {
    return this.growth > 1;
  }

  setMaximum(maximum: number): void {
    this.maximum = Math.max(1, Math.floor(maximum));
  }

  beginColdStart(nowMs: number): void {
    this.learned = INITIAL_LIMIT;
    this.ramping = true;
    this.baselineMs = 0;
    this.probe = null;
    this.growth = 1;
    this.meanMs = 0;
    this.restart(nowMs);
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
    this.growth = 1;
    this.probe = null;
    this.learned = Math.min(this.learned, inFlight + 1) * OVERLOAD_FALL;
    this.restart(nowMs);
  }

  /** The limit of a full target grows slowly; a report never raises it. */
  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void {
    if (slots > 0 && inFlight >= slots) {
      this.reportedFullUntilMs = nowMs + REPORT_LIFETIME_MS;
    }
  }

  advance(nowMs: number): void {
    const seen = this.window.close(nowMs);
    if (!seen) return;
    const lastGrowth = this.growth;
    this.growth = 1;
    if (this.probe) this.endProbe(this.probe, seen, nowMs);
    else if (seen.saturated) this.adjust(seen, lastGrowth, nowMs);
    else this.measureUnsaturated(seen);
    this.meanMs = seen.meanMs;
    this.learned = Math.min(
      this.maximum,
      Math.max(MINIMUM_LIMIT, this.learned),
    );
    this.restart(nowMs);
  }

  private adjust(
    seen: observation.Observation,
    lastGrowth: number,
    nowMs: number,
  ): void {
    if (this.baselineMs === 0) this.baselineMs = seen.quickMs;
    if (seen.quickMs < this.baselineMs) this.lowerBaseline(seen.quickMs);
    const wait = this.waitPart(seen);
    const pauseMs = wait > FREE_WAIT ? PROBE_UNDECIDED_MS : PROBE_EVERY_MS;
    const due = !this.ramping && nowMs - this.probedMs > pauseMs;
    if (due || wait > SUSPECT_WAIT) {
      this.ramping = false;
      this.probe = {limit: this.learned, seen};
    } else if (wait <= FREE_WAIT) {
      this.baselineMs += (seen.quickMs - this.baselineMs) * FREE_STEP;
      this.grow(lastGrowth, nowMs);
    } else {
      this.ramping = false;
      // The baseline may be too low; a limit that is too low costs more than
      // one that grows until it is probed.
      this.learned += 1;
    }
  }

  /** Part of the service time that calls spend behind the slots. */
  private waitPart(seen: observation.Observation): number {
    return (seen.quickMs - this.baselineMs) / seen.meanMs;
  }

  /**
   * Grows faster the longer nothing speaks against it. A load report only
   * slows it down, since one that always says full would stop it for good.
   */
  private grow(lastGrowth: number, nowMs: number): void {
    const reportedFull = nowMs < this.reportedFullUntilMs;
    if (reportedFull) this.growth = GROWTH;
    else if (this.ramping) this.growth = LARGEST_GROWTH;
    else this.growth = Math.min(LARGEST_GROWTH, lastGrowth * GROWTH);
    this.learned = Math.max(this.learned + 1, this.learned * this.growth);
  }

  private endProbe(
    probe: Probe,
    seen: observation.Observation,
    nowMs: number,
  ): void {
    this.probe = null;
    this.probedMs = nowMs;
    const before = probe.seen;
    // With a queue behind the slots, all calls are quicker by the part that
    // the limit fell; without one nothing changes. This is the midpoint.
    const fallMs = ((1 - PROBE_PART) / 2) * before.meanMs;
    if (seen.quickMs > before.quickMs - fallMs) {
      this.baselineMs = (seen.quickMs + before.quickMs) / 2;
    } else {
      this.baselineMs = Math.min(this.baselineMs, seen.quickMs);
      this.learned = probe.limit * fallFor(this.waitPart(before));
    }
  }

  private measureUnsaturated(seen: observation.Observation): void {
    // A limit that was not needed for a while says nothing about the capacity.
    this.ramping = true;
    if (this.baselineMs === 0 || seen.quickMs < this.baselineMs) {
      this.lowerBaseline(seen.quickMs);
    } else {
      this.baselineMs += (seen.quickMs - this.baselineMs) * BASELINE_STEP;
    }
  }

  private lowerBaseline(quickMs: number): void {
    if (this.baselineMs === 0) this.baselineMs = quickMs;
    const healed = quickMs < this.baselineMs * HEALED_PART;
    const step = healed ? HEALED_STEP : BASELINE_STEP;
    this.baselineMs += (quickMs - this.baselineMs) * step;
  }

  /** Skips the calls that started under the limit before. */
  private restart(nowMs: number): void {
    this.window = new observation.ObservationWindow(
      nowMs + this.meanMs,
      Math.min(MAXIMUM_SAMPLES, Math.max(MINIMUM_SAMPLES, this.learned)),
    );
  }
}

/** The factor that brings the wait down to the one wanted. */
function fallFor(wait: number): number {
  return Math.min(1, Math.max(LARGEST_FALL, (1 - wait) / (1 - WANTED_WAIT)));
}
