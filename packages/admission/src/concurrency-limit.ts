import * as observation from './observation-window.js';

/** Limit of a target without measurements and after a cold start. */
export const INITIAL_LIMIT = 4;

/** Lower bound that keeps enough calls in flight to detect an improvement. */
const MINIMUM_LIMIT = 2;

/**
 * Queue wait, as a fraction of the service time, up to which the limit grows.
 */
const GROWTH_WAIT_FRACTION = 0.12;

/**
 * Queue wait fraction above which the limit is lowered for a probe. A slower
 * service is indistinguishable from a queue by its service times, so the limit
 * is only reduced if the probe confirms a queue.
 */
const PROBE_WAIT_FRACTION = 0.3;

/** Queue wait fraction that a reduction of the limit aims for. */
const TARGET_WAIT_FRACTION = 0.17;

/**
 * Growth factor of the first window and the maximum over successive windows.
 */
const INITIAL_GROWTH = 1.1;
const MAXIMUM_GROWTH = 1.5;

/** Samples per window: equal to the limit, within these bounds. */
const MINIMUM_SAMPLES = 8;
const MAXIMUM_SAMPLES = 32;

/**
 * Lower bound on the factor that one probe applies to the limit, as a single
 * probe may misjudge, and the factor of an overload failure.
 */
const MINIMUM_PROBE_FACTOR = 0.8;
const OVERLOAD_FACTOR = 0.9;

/**
 * Fraction of the limit that is in force while a probe measures the baseline.
 */
const PROBE_LIMIT_FRACTION = 0.8;

/**
 * Interval between probes of a saturated target. The shorter one applies while
 * the baseline may be too low.
 */
const PROBE_INTERVAL_MS = 5_000;
const UNCERTAIN_PROBE_INTERVAL_MS = 1_500;

/** Weights of a new window in the moving average of the baseline. */
const BASELINE_SMOOTHING = 0.25;
const RECOVERY_SMOOTHING = 0.7;
const SATURATED_SMOOTHING = 0.1;

/** A drop of the p10 service time below this fraction exceeds noise. */
const RECOVERY_FRACTION = 0.6;

/** Time for which a load report is taken into account. */
const REPORT_LIFETIME_MS = 500;

/** State saved before the limit was lowered for a probe. */
interface Probe {
  readonly limit: number;
  readonly observed: observation.Observation;
}

/**
 * Adaptive concurrency limit based on service times and overload failures. The
 * baseline is the p10 service time without a queue behind the slots of the
 * backend server. It is measured while calls stay below the limit, and by
 * probing with a lower limit while the target is saturated.
 */
export class ConcurrencyLimit {
  private learnedLimit = INITIAL_LIMIT;
  private maximum: number;
  private isRampingUp = true;
  private baselineMs = 0;
  private meanMs = 0;
  private probe: Probe | null = null;
  private lastProbeMs = Number.NEGATIVE_INFINITY;
  private ignoreOverloadUntilMs = Number.NEGATIVE_INFINITY;
  private reportedFullUntilMs = Number.NEGATIVE_INFINITY;
  private window = new observation.ObservationWindow(0, MINIMUM_SAMPLES);
  /** Growth factor of the last window; 1 if the limit did not grow. */
  private growth = 1;

  constructor(maximum: number) {
    this.maximum = Math.max(1, maximum);
  }

  /** The limit in force, rounded down to an integer. */
  get value(): number {
    const fraction = this.probe ? PROBE_LIMIT_FRACTION : 1;
    const limit = Math.max(
      MINIMUM_LIMIT,
      Math.floor(this.learnedLimit * fraction),
    );
    return Math.min(limit, this.maximum);
  }

  /**
   * Service time without queueing, as the 10th percentile; 0 until measured.
   */
  get baseline(): number {
    return this.baselineMs;
  }

  /** Whether the limit is rising, so that more calls will start soon. */
  get isGrowing(): boolean {
    return this.growth > 1;
  }

  setMaximum(maximum: number): void {
    this.maximum = Math.max(1, Math.floor(maximum));
  }

  beginColdStart(nowMs: number): void {
    this.learnedLimit = INITIAL_LIMIT;
    this.isRampingUp = true;
    this.baselineMs = 0;
    this.probe = null;
    this.growth = 1;
    this.meanMs = 0;
    this.restartWindow(nowMs);
  }

  noteStart(inFlight: number): void {
    this.window.noteStart(inFlight, this.value);
  }

  noteSuccess(serviceTimeMs: number, nowMs: number): void {
    this.window.noteSuccess(serviceTimeMs, nowMs);
  }

  /**
   * Reduces the limit after the backend server refused a call as overloaded.
   */
  noteOverload(inFlight: number, nowMs: number): void {
    if (nowMs < this.ignoreOverloadUntilMs) return;
    // Further refusals within one service time have the same cause.
    this.ignoreOverloadUntilMs = nowMs + Math.max(20, this.meanMs);
    this.isRampingUp = false;
    this.growth = 1;
    this.probe = null;
    this.learnedLimit =
      Math.min(this.learnedLimit, inFlight + 1) * OVERLOAD_FACTOR;
    this.restartWindow(nowMs);
  }

  /**
   * Slows growth while the target reports that all of its slots are in use. A
   * report never raises the limit.
   */
  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void {
    if (slots > 0 && inFlight >= slots) {
      this.reportedFullUntilMs = nowMs + REPORT_LIFETIME_MS;
    }
  }

  advance(nowMs: number): void {
    const observed = this.window.close(nowMs);
    if (!observed) return;
    const lastGrowth = this.growth;
    this.growth = 1;
    if (this.probe) this.finishProbe(this.probe, observed, nowMs);
    else if (observed.saturated) this.adjustLimit(observed, lastGrowth, nowMs);
    else this.updateBaseline(observed);
    this.meanMs = observed.meanMs;
    this.learnedLimit = Math.min(
      this.maximum,
      Math.max(MINIMUM_LIMIT, this.learnedLimit),
    );
    this.restartWindow(nowMs);
  }

  private adjustLimit(
    observed: observation.Observation,
    lastGrowth: number,
    nowMs: number,
  ): void {
    if (this.baselineMs === 0) this.baselineMs = observed.p10Ms;
    if (observed.p10Ms < this.baselineMs) this.lowerBaseline(observed.p10Ms);
    const waitFraction = this.queueWaitFraction(observed);
    const probeIntervalMs =
      waitFraction > GROWTH_WAIT_FRACTION
        ? UNCERTAIN_PROBE_INTERVAL_MS
        : PROBE_INTERVAL_MS;
    const probeDue =
      !this.isRampingUp && nowMs - this.lastProbeMs > probeIntervalMs;
    if (probeDue || waitFraction > PROBE_WAIT_FRACTION) {
      this.isRampingUp = false;
      this.probe = {limit: this.learnedLimit, observed};
    } else if (waitFraction <= GROWTH_WAIT_FRACTION) {
      this.baselineMs +=
        (observed.p10Ms - this.baselineMs) * SATURATED_SMOOTHING;
      this.growLimit(lastGrowth, nowMs);
    } else {
      this.isRampingUp = false;
      // The baseline may be too low. A limit that is too low costs more than
      // one that grows until the next probe.
      this.learnedLimit += 1;
    }
  }

  /** Returns the fraction of the service time spent queueing for a slot. */
  private queueWaitFraction(observed: observation.Observation): number {
    return (observed.p10Ms - this.baselineMs) / observed.meanMs;
  }

  /**
   * Grows by an increasing factor while windows show no queue. A load report
   * only slows growth: a server that always reports itself full would otherwise
   * stop it permanently.
   */
  private growLimit(lastGrowth: number, nowMs: number): void {
    const reportedFull = nowMs < this.reportedFullUntilMs;
    if (reportedFull) this.growth = INITIAL_GROWTH;
    else if (this.isRampingUp) this.growth = MAXIMUM_GROWTH;
    else this.growth = Math.min(MAXIMUM_GROWTH, lastGrowth * INITIAL_GROWTH);
    this.learnedLimit = Math.max(
      this.learnedLimit + 1,
      this.learnedLimit * this.growth,
    );
  }

  private finishProbe(
    probe: Probe,
    observed: observation.Observation,
    nowMs: number,
  ): void {
    this.probe = null;
    this.lastProbeMs = nowMs;
    const before = probe.observed;
    // With a queue behind the slots, the lower limit shortens every call in
    // proportion; without one, service times stay the same. The threshold is
    // halfway between the two.
    const halfExpectedDropMs = ((1 - PROBE_LIMIT_FRACTION) / 2) * before.meanMs;
    if (observed.p10Ms > before.p10Ms - halfExpectedDropMs) {
      this.baselineMs = (observed.p10Ms + before.p10Ms) / 2;
    } else {
      this.baselineMs = Math.min(this.baselineMs, observed.p10Ms);
      this.learnedLimit =
        probe.limit * probeFactor(this.queueWaitFraction(before));
    }
  }

  private updateBaseline(observed: observation.Observation): void {
    // A limit that has not been reached does not reflect the capacity.
    this.isRampingUp = true;
    if (this.baselineMs === 0 || observed.p10Ms < this.baselineMs) {
      this.lowerBaseline(observed.p10Ms);
    } else {
      this.baselineMs +=
        (observed.p10Ms - this.baselineMs) * BASELINE_SMOOTHING;
    }
  }

  private lowerBaseline(p10Ms: number): void {
    if (this.baselineMs === 0) this.baselineMs = p10Ms;
    const recovered = p10Ms < this.baselineMs * RECOVERY_FRACTION;
    const smoothing = recovered ? RECOVERY_SMOOTHING : BASELINE_SMOOTHING;
    this.baselineMs += (p10Ms - this.baselineMs) * smoothing;
  }

  /** Starts a window that ignores calls started under the previous limit. */
  private restartWindow(nowMs: number): void {
    this.window = new observation.ObservationWindow(
      nowMs + this.meanMs,
      Math.min(MAXIMUM_SAMPLES, Math.max(MINIMUM_SAMPLES, this.learnedLimit)),
    );
  }
}

/** Returns the factor that reduces the queue wait to its target fraction. */
function probeFactor(waitFraction: number): number {
  return Math.min(
    1,
    Math.max(
      MINIMUM_PROBE_FACTOR,
      (1 - waitFraction) / (1 - TARGET_WAIT_FRACTION),
    ),
  );
}
