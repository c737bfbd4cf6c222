import type * as protocol from '@camphorwharf/protocol';
import * as callTicket from './call-ticket.js';
import * as demandEstimate from './demand-estimate.js';
import * as importanceQueue from './importance-queue.js';
import * as shareExcess from './share-excess.js';
import * as shareThreshold from './share-threshold.js';
import * as waterFill from './water-fill.js';

const WINDOW_MS = 100;

/**
 * Ratio of admitted calls to measured throughput. The headroom maintains a
 * short queue, so that slots do not become idle while senders shed.
 */
const ADMISSION_HEADROOM = 1.1;

/** Headroom while the limit grows, by up to half of its value at a time. */
const GROWTH_HEADROOM = 1.7;

/** Consecutive windows with refusals before shedding starts. */
const WINDOWS_TO_START = 2;

/** Consecutive windows with free capacity before shedding ends. */
const WINDOWS_TO_END = 10;

/**
 * Consecutive windows with free capacity before the admitted rate is raised.
 */
const WINDOWS_TO_RELAX = 2;

/** Growth of the admitted rate per window with free capacity. */
const RELAX_FACTOR = 1.25;

/** Weight of a new window in the moving average of the throughput. */
const THROUGHPUT_SMOOTHING = 0.2;

/**
 * Minimum fraction of an organisation's calls that passes in the class at the
 * threshold.
 */
const MINIMUM_PASSING_FRACTION = 0.01;

/** Refusals below this fraction of the offered calls are noise. */
const REFUSAL_NOISE_FRACTION = 0.02;

/**
 * Demand ratio assigned to every organisation of a class that is shed entirely.
 */
const CLOSED_CLASS_DEMAND_RATIO = 1_000;

/**
 * Computes the shedding threshold of a target from the numbers of calls
 * started, offered and refused. Classes are shed starting with the least
 * important one. Within the class at the threshold, each organisation keeps the
 * fraction of its demand that its fair share covers.
 */
export class SheddingControl {
  private readonly demands = importanceQueue.CLASSES.map(
    () => new demandEstimate.DemandEstimate(),
  );
  private current: shareThreshold.ShareThreshold | null = null;
  /**
   * Ratio of demand to fair share, by organisation in the class at the
   * threshold.
   */
  private demandRatios: ReadonlyMap<string, number> = new Map();
  private windowStartMs: number | null = null;
  private started = 0;
  private offered = 0;
  private refused = 0;
  private foundFull = 0;
  private overloadedWindows = 0;
  private unsaturatedWindows = 0;
  private throughput = 0;
  private admittedPerSecond = 0;

  get threshold(): shareThreshold.ShareThreshold | null {
    return this.current;
  }

  passes(call: shareThreshold.ShareCall): boolean {
    return (
      !this.current || shareThreshold.passesShareThreshold(call, this.current)
    );
  }

  /**
   * Returns the ratio of an organisation's demand to its fair share of its
   * class; null while nothing is shed.
   */
  demandRatioOf(
    importance: protocol.ImportanceClass,
    share: string,
  ): number | null {
    const threshold = this.current;
    if (!threshold) return null;
    if (importance > threshold.importance) return CLOSED_CLASS_DEMAND_RATIO;
    if (importance < threshold.importance) return 1;
    return this.demandRatios.get(share) ?? 1;
  }

  /**
   * `foundFull` is true if the call could not start at once, because the limit
   * was reached or other calls were queued.
   */
  noteOffer(
    call: Pick<protocol.CallContext, 'importance' | 'rank' | 'organisation'>,
    weight: number,
    foundFull: boolean,
  ): void {
    this.offered++;
    if (foundFull) this.foundFull++;
    if (this.passes(call)) {
      this.demands[call.importance].noteArrival(
        callTicket.shareName(call.organisation),
        weight,
      );
    }
  }

  noteStart(): void {
    this.started++;
  }

  /** Counts a call that was refused for lack of capacity. */
  noteRefusal(): void {
    this.refused++;
  }

  /**
   * Returns whether a window ended, in which case the threshold may have
   * changed.
   */
  advance(limitIsGrowing: boolean, nowMs: number): boolean {
    this.windowStartMs ??= nowMs;
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS) return false;
    this.windowStartMs = nowMs;
    const demands = this.demands.map((estimate, importance) =>
      estimate.closeWindow(elapsedMs, name =>
        this.passingFraction(importance as protocol.ImportanceClass, name),
      ),
    );
    const overloaded = this.refused > this.offered * REFUSAL_NOISE_FRACTION;
    const startedPerSecond = (this.started * 1_000) / elapsedMs;
    // Near full utilisation, almost every call finds the target full.
    const saturated = this.foundFull * 2 > this.offered;
    this.started = this.offered = this.refused = this.foundFull = 0;
    // At the onset of an overload, the average still reflects the earlier,
    // lower demand.
    const smoothing = !this.current && overloaded ? 1 : THROUGHPUT_SMOOTHING;
    this.throughput += (startedPerSecond - this.throughput) * smoothing;
    this.overloadedWindows = overloaded ? this.overloadedWindows + 1 : 0;
    this.unsaturatedWindows =
      saturated || overloaded ? 0 : this.unsaturatedWindows + 1;
    if (!this.current && this.overloadedWindows < WINDOWS_TO_START) return true;
    this.updateAdmittedRate(
      limitIsGrowing ? GROWTH_HEADROOM : ADMISSION_HEADROOM,
    );
    this.current =
      this.unsaturatedWindows >= WINDOWS_TO_END
        ? null
        : this.computeThreshold(demands);
    return true;
  }

  private updateAdmittedRate(headroom: number): void {
    const measured = this.throughput * headroom;
    this.admittedPerSecond =
      this.unsaturatedWindows >= WINDOWS_TO_RELAX
        ? Math.max(measured, this.admittedPerSecond) * RELAX_FACTOR
        : measured;
  }

  private passingFraction(
    importance: protocol.ImportanceClass,
    name: string,
  ): number {
    const threshold = this.current;
    if (!threshold || importance < threshold.importance) return 1;
    if (importance > threshold.importance) return 0;
    return threshold.organisations?.[name] ?? threshold.rank;
  }

  private computeThreshold(
    demands: ReadonlyArray<readonly demandEstimate.ShareDemand[]>,
  ): shareThreshold.ShareThreshold | null {
    let left = this.admittedPerSecond;
    for (const importance of importanceQueue.CLASSES) {
      const shares = demands[importance];
      const total = shares.reduce((sum, share) => sum + share.amount, 0);
      if (total > left) return this.divideClass(importance, shares, left);
      left -= total;
    }
    return null;
  }

  private divideClass(
    importance: protocol.ImportanceClass,
    shares: readonly demandEstimate.ShareDemand[],
    capacity: number,
  ): shareThreshold.ShareThreshold {
    const level = waterFill.fairShareLevel(shares, capacity);
    this.demandRatios = new Map(
      shares.map(share => [share.name, share.amount / (level * share.weight)]),
    );
    let rank = 0;
    for (const demandRatio of this.demandRatios.values()) {
      rank = Math.max(rank, passingFraction(demandRatio));
    }
    const listed = [...this.demandRatios]
      .map(
        ([name, demandRatio]) => [name, passingFraction(demandRatio)] as const,
      )
      .filter(([, fraction]) => fraction < rank)
      .sort(([, first], [, second]) => first - second)
      .slice(0, shareThreshold.MAXIMUM_LISTED_ORGANISATIONS);
    if (listed.length === 0) return {importance, rank};
    return {importance, rank, organisations: Object.fromEntries(listed)};
  }
}

/**
 * Returns the fraction of an organisation's calls that pass at a demand ratio.
 */
function passingFraction(demandRatio: number): number {
  const fairFraction = Math.max(MINIMUM_PASSING_FRACTION, 1 / demandRatio);
  return 1 + (fairFraction - 1) * shareExcess.sheddingDegree(demandRatio);
}
