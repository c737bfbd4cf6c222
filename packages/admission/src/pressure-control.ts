/** Calls may wait this long on average before the queue counts as too long. */
const TARGET_WAIT_MS = 15;

/** An event loop that is later than this cannot keep up. */
const TARGET_LAG_MS = 40;

/** Steps of the pressure per observation. */
const SMALLEST_RISE = 0.02;
const LARGEST_RISE = 0.15;
const FALL = 0.015;
const FALL_SHARE = 0.06;

/** Weight of refusals of calls that had not begun elsewhere. */
const FRESH_REFUSAL_WEIGHT = 0.3;

/**
 * How much less work a service needs from the services above it, from 0 to 1.
 * The pressure rises while calls wait or are refused, and falls again when
 * they do not, so that it settles where the load fits. It answers an overload
 * deep in a call chain, where refusing nested calls would waste the work that
 * was done for them.
 */
export class PressureControl {
  private pressure = 0;
  private starts = 0;
  private waitedMs = 0;
  private refusals = 0;

  get value(): number {
    return this.pressure;
  }

  noteStart(waitedMs: number): void {
    this.starts++;
    this.waitedMs += waitedMs;
  }

  noteRefusal(nested: boolean): void {
    this.refusals += nested ? 1 : FRESH_REFUSAL_WEIGHT;
  }

  /** Ends one observation; `lagMs` is how late the event loop is. */
  update(lagMs: number): void {
    const offered = this.starts + this.refusals;
    const refusedShare = offered > 0 ? this.refusals / offered : 0;
    const waitMs = this.starts > 0 ? this.waitedMs / this.starts : 0;
    const excess = Math.max(
      refusedShare,
      (waitMs - TARGET_WAIT_MS) / (10 * TARGET_WAIT_MS),
      (lagMs - TARGET_LAG_MS) / (10 * TARGET_LAG_MS),
    );
    if (excess > 0) {
      const rise = Math.max(SMALLEST_RISE, excess / 2);
      this.pressure = Math.min(1, this.pressure + Math.min(LARGEST_RISE, rise));
    } else {
      const fall = FALL + FALL_SHARE * this.pressure;
      this.pressure = Math.max(0, this.pressure - fall);
    }
    this.starts = 0;
    this.waitedMs = 0;
    this.refusals = 0;
  }
}
