import type * as protocol from '@camphorwharf/protocol';
import * as demandEstimate from './demand-estimate.js';
import * as importanceQueue from './importance-queue.js';
import * as shareExcess from './share-excess.js';
import * as shareThreshold from './share-threshold.js';
import * as waiting from './waiting-call.js';
import * as waterFill from './water-fill.js';

const WINDOW_MS = 100;

/**
 * Calls let through over the measured throughput. The surplus keeps a short
 * queue, so that the slots never run dry while senders refuse.
 */
const SURPLUS = 1.1;

/** Surplus while the limit rises, which may add half of it at a time. */
const GROWING_SURPLUS = 1.7;

/** Consecutive windows with refusals before shedding starts. */
const WINDOWS_TO_START = 2;

/** Consecutive windows with free capacity after which shedding ends. */
const WINDOWS_TO_END = 10;

/** Consecutive windows with free capacity before more is let through. */
const WINDOWS_TO_OPEN = 2;

/** Growth of the admitted amount in a window with free capacity. */
const OPENING = 1.25;

/** Part by which one window moves the throughput estimate. */
const STEP = 0.2;

/** The least part that stays open of the class at the threshold. */
const MINIMUM_PART = 0.01;

/** Refusals below this part of the offered calls are noise. */
const NOISE_PART = 0.02;

/** Excess of each organisation in a class that is closed. */
const CLOSED_CLASS_EXCESS = 1_000;

/**
 * Computes the shedding threshold of a target from the calls started,
 * offered and refused. Classes are closed from the least important on; in the
 * class at the threshold each organisation gets the part of its demand that
 * its fair share covers.
 */
export class SheddingControl {
  private readonly demands = importanceQueue.CLASSES.map(
    () => new demandEstimate.DemandEstimate(),
  );
  private current: shareThreshold.ShareThreshold | null = null;
  /** Demand over fair share, in the class at the threshold. */
  private excesses: ReadonlyMap<string, number> = new Map();
  private windowStartMs: number | null = null;
  private started = 0;
  private offered = 0;
  private refused = 0;
  private foundFull = 0;
  private overloadedWindows = 0;
  private freeWindows = 0;
  private throughput = 0;
  private admitted = 0;

  get threshold(): shareThreshold.ShareThreshold | null {
    return this.current;
  }

  passes(call: shareThreshold.ShareCall): boolean {
    return (
      !this.current || shareThreshold.passesShareThreshold(call, this.current)
    );
  }

  /**
   * Demand of an organisation over its fair share of what its class gets;
   * null while nothing is shed.
   */
  excessOf(importance: protocol.ImportanceClass, share: string): number | null {
    const threshold = this.current;
    if (!threshold) return null;
    if (importance > threshold.importance) return CLOSED_CLASS_EXCESS;
    if (importance < threshold.importance) return 1;
    return this.excesses.get(share) ?? 1;
  }

  /** `foundFull`: no slot of the limit was free for the call. */
  noteOffer(
    call: Pick<protocol.CallContext, 'importance' | 'rank' | 'organisation'>,
    weight: number,
    foundFull: boolean,
  ): void {
    this.offered++;
    if (foundFull) this.foundFull++;
    if (this.passes(call)) {
      this.demands[call.importance].noteArrival(
        waiting.shareOf(call.organisation),
        weight,
      );
    }
  }

  noteStart(): void {
    this.started++;
  }

  /** A call that was refused because the target had no room for it. */
  noteRefusal(): void {
    this.refused++;
  }

  /** Returns whether a window ended, so that the threshold may differ. */
  advance(limitIsGrowing: boolean, nowMs: number): boolean {
    this.windowStartMs ??= nowMs;
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < WINDOW_MS) return false;
    this.windowStartMs = nowMs;
    const demands = this.demands.map((estimate, importance) =>
      estimate.closeWindow(elapsedMs, name =>
        this.passingPart(importance as protocol.ImportanceClass, name),
      ),
    );
    const overloaded = this.refused > this.offered * NOISE_PART;
    const startedPerSecond = (this.started * 1_000) / elapsedMs;
    // At full use nearly every call finds the target full.
    const saturated = this.foundFull * 2 > this.offered;
    this.started = this.offered = this.refused = this.foundFull = 0;
    // At the onset the average still shows the lower demand before it.
    const step = !this.current && overloaded ? 1 : STEP;
    this.throughput += (startedPerSecond - this.throughput) * step;
    this.overloadedWindows = overloaded ? this.overloadedWindows + 1 : 0;
    this.freeWindows = saturated || overloaded ? 0 : this.freeWindows + 1;
    if (!this.current && this.overloadedWindows < WINDOWS_TO_START) return true;
    this.moveAdmitted(limitIsGrowing ? GROWING_SURPLUS : SURPLUS);
    this.current =
      this.freeWindows >= WINDOWS_TO_END ? null : this.compute(demands);
    return true;
  }

  private moveAdmitted(surplus: number): void {
    const measured = this.throughput * surplus;
    this.admitted =
      this.freeWindows >= WINDOWS_TO_OPEN
        ? Math.max(measured, this.admitted) * OPENING
        : measured;
  }

  private passingPart(
    importance: protocol.ImportanceClass,
    name: string,
  ): number {
    const threshold = this.current;
    if (!threshold || importance < threshold.importance) return 1;
    if (importance > threshold.importance) return 0;
    return threshold.organisations?.[name] ?? threshold.rank;
  }

  private compute(
    demands: ReadonlyArray<readonly demandEstimate.ShareDemand[]>,
  ): shareThreshold.ShareThreshold | null {
    let left = this.admitted;
    for (const importance of importanceQueue.CLASSES) {
      const shares = demands[importance];
      const total = shares.reduce((sum, share) => sum + share.amount, 0);
      if (total > left) return this.divide(importance, shares, left);
      left -= total;
    }
    return null;
  }

  private divide(
    importance: protocol.ImportanceClass,
    shares: readonly demandEstimate.ShareDemand[],
    capacity: number,
  ): shareThreshold.ShareThreshold {
    const level = waterFill.fairLevel(shares, capacity);
    this.excesses = new Map(
      shares.map(share => [share.name, share.amount / (level * share.weight)]),
    );
    let rank = 0;
    for (const excess of this.excesses.values()) {
      rank = Math.max(rank, passingPart(excess));
    }
    const listed = [...this.excesses]
      .map(([name, excess]) => [name, passingPart(excess)] as const)
      .filter(([, part]) => part < rank)
      .sort(([, first], [, second]) => first - second)
      .slice(0, shareThreshold.MAXIMUM_LISTED_ORGANISATIONS);
    if (listed.length === 0) return {importance, rank};
    return {importance, rank, organisations: Object.fromEntries(listed)};
  }
}

/** The part of an organisation's calls that pass at this excess. */
function passingPart(excess: number): number {
  const full = Math.max(MINIMUM_PART, 1 / excess);
  return 1 + (full - 1) * shareExcess.cutDegree(excess);
}
