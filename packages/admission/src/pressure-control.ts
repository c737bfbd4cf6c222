/** Target of the offered load, as a multiple of the capacity. */
const TARGET_LOAD = 1;

/**
 * Feedback delay in observations: the duration of a call chain plus the delay
 * of the reports back to the hosts where requests arrive.
 */
const LOOP_DELAY = 8;

/** Half-width of the range of delays that is averaged, as the delay varies. */
const DELAY_SPREAD = 2;

/** Smoothing factor of the admitted fraction per observation. */
const SMOOTHING = 0.3;

/** Exponent of the correction that is applied without regard to the delay. */
const DIRECT_GAIN = 0.05;

/** Bounds of the offered load, as a multiple of the target. */
const MINIMUM_LOAD_RATIO = 0.25;
const MAXIMUM_LOAD_RATIO = 10;

/** Some requests always pass, so that the end of an overload is detected. */
const MINIMUM_ADMITTED_FRACTION = 0.02;

/** Time within which queued calls should be served, in milliseconds. */
const QUEUE_DRAIN_MS = 250;

/**
 * Target utilisation of the event loop. Above it, concurrent arrivals queue for
 * a long time.
 */
const TARGET_BUSY_SHARE = 0.9;

/** Event loop lag above which the process cannot keep up, in milliseconds. */
const TARGET_LAG_MS = 40;

/** Lag above the target that counts as a doubled load, in milliseconds. */
const LAG_SCALE_MS = 200;

/** Weight of a refused call that is not nested in another call. */
const NON_NESTED_REFUSAL_WEIGHT = 0.3;

/** Capacity and load of a backend server at the end of one observation. */
export interface CapacityObservation {
  /** Maximum number of concurrent calls. */
  readonly capacity: number;
  readonly averageRunMs: number;
  /** Number of calls waiting for a slot. */
  readonly waiting: number;
  /** Time since the previous observation, in milliseconds. */
  readonly intervalMs: number;
  /** Event loop lag, in milliseconds. */
  readonly lagMs: number;
  /** Utilisation of the event loop, from 0 to 1. */
  readonly busyShare: number;
}

/**
 * Computes the fraction of the demand, from 0 to 1, that upstream services
 * should shed. It is derived from the offered load and the capacity, so that it
 * converges to a load that fits even though its effect is only visible after a
 * whole call chain. Shedding upstream handles an overload deep in a chain,
 * where refusing nested calls would waste the work already done for them.
 */
export class PressureControl {
  private admittedFraction = 1;
  /** Admitted fraction after each of the last observations, oldest first. */
  private readonly history = new Array<number>(LOOP_DELAY + DELAY_SPREAD).fill(
    1,
  );
  private arrivals = 0;
  private refusals = 0;

  get value(): number {
    return 1 - this.admittedFraction;
  }

  noteArrival(): void {
    this.arrivals++;
  }

  /**
   * Records the refusal of a call that has already been counted as an arrival
   * and was not sent to the backend server.
   */
  noteRefusal(nested: boolean): void {
    this.refusals += nested ? 1 : NON_NESTED_REFUSAL_WEIGHT;
  }

  /** Ends one observation and updates the pressure. */
  update(observation: CapacityObservation): void {
    const ratio = this.offeredLoad(observation) / TARGET_LOAD;
    const boundedRatio = Math.min(
      MAXIMUM_LOAD_RATIO,
      Math.max(MINIMUM_LOAD_RATIO, ratio),
    );
    // Calls that arrive now were admitted one loop delay ago. Correcting the
    // current fraction instead would count the same excess repeatedly until it
    // has passed.
    const target = this.delayedAdmittedFraction() / boundedRatio;
    const delayed =
      this.admittedFraction + SMOOTHING * (target - this.admittedFraction);
    const undelayed = this.admittedFraction * boundedRatio ** -DIRECT_GAIN;
    const next =
      ratio > 1 ? Math.min(delayed, undelayed) : Math.max(delayed, undelayed);
    this.admittedFraction = Math.min(
      1,
      Math.max(MINIMUM_ADMITTED_FRACTION, next),
    );
    this.history.push(this.admittedFraction);
    if (this.history.length > LOOP_DELAY + DELAY_SPREAD) this.history.shift();
    this.arrivals = 0;
    this.refusals = 0;
  }

  /**
   * Returns the admitted fraction at the time when the calls that arrive now
   * started.
   */
  private delayedAdmittedFraction(): number {
    const count = 2 * DELAY_SPREAD;
    let sum = 0;
    for (let index = 0; index < count; index++) {
      sum += this.history[index] ?? 1;
    }
    return sum / count;
  }

  /** Returns the offered load as a multiple of the capacity. */
  private offeredLoad(observation: CapacityObservation): number {
    const cpuLoad = cpuLoadOf(observation);
    const {averageRunMs, capacity, intervalMs, waiting} = observation;
    const queued = (waiting * intervalMs) / QUEUE_DRAIN_MS;
    const runMs = (this.arrivals + queued) * averageRunMs;
    const slotLoad = runMs / (capacity * intervalMs);
    // Arrivals vary randomly between observations; only queued or refused calls
    // indicate an overload.
    const congested = waiting > 0 || this.refusals > 0;
    if (!congested) return Math.max(Math.min(slotLoad, TARGET_LOAD), cpuLoad);
    const refusedShare = Math.min(0.9, this.refusals / (this.arrivals || 1));
    return Math.max(slotLoad, cpuLoad, TARGET_LOAD / (1 - refusedShare));
  }
}

/**
 * Returns the load of the process as a multiple of its capacity. Utilisation
 * cannot exceed 1, so the lag measures the excess of a saturated process.
 */
function cpuLoadOf(observation: CapacityObservation): number {
  const {busyShare, lagMs} = observation;
  const excessLag = Math.max(0, lagMs - TARGET_LAG_MS) / LAG_SCALE_MS;
  const relativeBusyShare = busyShare / TARGET_BUSY_SHARE;
  return (
    TARGET_LOAD *
    (excessLag > 0
      ? Math.max(relativeBusyShare, 1 + excessLag)
      : relativeBusyShare)
  );
}
