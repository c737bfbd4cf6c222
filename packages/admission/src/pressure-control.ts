/** The part of the capacity that the offered load is brought to. */
const TARGET_LOAD = 1;

/**
 * Observations after which a change of the pressure shows in the load: the
 * time of a call chain and of the reports back to where requests arrive.
 */
const LOOP_DELAY = 8;

/** The delay varies, so the average over some observations is taken. */
const DELAY_SPREAD = 2;

/** Part of the way to its aim that one observation moves the pressure. */
const STEP = 0.3;

/** Part of a deviation that is corrected whatever the delay of the chain. */
const GAIN = 0.05;

/** Bounds of the offered load, as a multiple of the target. */
const SMALLEST_RATIO = 0.25;
const LARGEST_RATIO = 10;

/** Some requests always pass, so that the end of an overload is seen. */
const SMALLEST_ADMITTED = 0.02;

/** Waiting calls are to be gone after this time, in milliseconds. */
const QUEUE_DRAIN_MS = 250;

/**
 * The part of its time that a process may be at work; beyond it, what arrives
 * at once waits for long.
 */
const TARGET_BUSY_SHARE = 0.9;

/** An event loop that is later than this cannot keep up. */
const TARGET_LAG_MS = 40;

/** Lag beyond the target that counts as twice the load, in milliseconds. */
const LAG_SCALE_MS = 200;

/** Weight of refusals of calls that had not begun elsewhere. */
const FRESH_REFUSAL_WEIGHT = 0.3;

/** What a backend server can do, at the end of one observation. */
export interface CapacityObservation {
  /** Calls that run at once at most. */
  readonly capacity: number;
  readonly averageRunMs: number;
  /** Calls that wait for a slot. */
  readonly waiting: number;
  /** Time since the observation before, in milliseconds. */
  readonly intervalMs: number;
  /** How late the event loop is, in milliseconds. */
  readonly lagMs: number;
  /** Part of the time for which the event loop was at work, from 0 to 1. */
  readonly busyShare: number;
}

/**
 * The part of the demand, from 0 to 1, that the services above this one
 * should not begin. It follows from the load that is offered and from what
 * the backend server can do, so that it settles where the load fits, also
 * when its effect is seen only after a whole call chain. It answers an
 * overload deep in a chain, where refusing nested calls would waste the work
 * that was done for them.
 */
export class PressureControl {
  private admitted = 1;
  /** What was admitted after each of the last observations, oldest first. */
  private readonly history = new Array<number>(LOOP_DELAY + DELAY_SPREAD).fill(
    1,
  );
  private arrivals = 0;
  private refusals = 0;

  get value(): number {
    return 1 - this.admitted;
  }

  noteArrival(): void {
    this.arrivals++;
  }

  /** Of a call that was noted before; the backend server did not get it. */
  noteRefusal(nested: boolean): void {
    this.refusals += nested ? 1 : FRESH_REFUSAL_WEIGHT;
  }

  /** Ends one observation. */
  update(observation: CapacityObservation): void {
    const ratio = this.loadOf(observation) / TARGET_LOAD;
    const bounded = Math.min(LARGEST_RATIO, Math.max(SMALLEST_RATIO, ratio));
    // What arrives now was admitted a loop delay ago. Correcting what is
    // admitted now would count the same excess again until it has passed.
    const aim = this.admittedBefore() / bounded;
    const delayed = this.admitted + STEP * (aim - this.admitted);
    const direct = this.admitted * bounded ** -GAIN;
    const next =
      ratio > 1 ? Math.min(delayed, direct) : Math.max(delayed, direct);
    this.admitted = Math.min(1, Math.max(SMALLEST_ADMITTED, next));
    this.history.push(this.admitted);
    if (this.history.length > LOOP_DELAY + DELAY_SPREAD) this.history.shift();
    this.arrivals = 0;
    this.refusals = 0;
  }

  /** What was admitted when the calls that arrive now began. */
  private admittedBefore(): number {
    const count = 2 * DELAY_SPREAD;
    let sum = 0;
    for (let index = 0; index < count; index++) {
      sum += this.history[index] ?? 1;
    }
    return sum / count;
  }

  /** The offered load as a multiple of the capacity. */
  private loadOf(observation: CapacityObservation): number {
    const ofProcess = processLoad(observation);
    const {averageRunMs, capacity, intervalMs, waiting} = observation;
    const queued = (waiting * intervalMs) / QUEUE_DRAIN_MS;
    const runMs = (this.arrivals + queued) * averageRunMs;
    const ofSlots = runMs / (capacity * intervalMs);
    // Chance brings more calls into some observations than into others; only
    // calls that had to wait or were refused show an overload.
    const congested = waiting > 0 || this.refusals > 0;
    if (!congested) return Math.max(Math.min(ofSlots, TARGET_LOAD), ofProcess);
    const refusedShare = Math.min(0.9, this.refusals / (this.arrivals || 1));
    return Math.max(ofSlots, ofProcess, TARGET_LOAD / (1 - refusedShare));
  }
}

/**
 * The load of the process as a multiple of what it can do. A process that has
 * no time left cannot be more than busy; its lag tells the excess.
 */
function processLoad(observation: CapacityObservation): number {
  const {busyShare, lagMs} = observation;
  const late = Math.max(0, lagMs - TARGET_LAG_MS) / LAG_SCALE_MS;
  const busy = busyShare / TARGET_BUSY_SHARE;
  return TARGET_LOAD * (late > 0 ? Math.max(busy, 1 + late) : busy);
}
