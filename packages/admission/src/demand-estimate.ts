import type * as waterFill from './water-fill.js';

/** Organisations remembered in one class. */
const MAXIMUM_SHARES = 512;

/** Part of the earlier windows that counts after one more window. */
const KEPT_PART = 0.8;

/**
 * Calls that the class average counts for in an organisation's estimate.
 * Without them the few calls of a small organisation give a random cutoff,
 * and a low cutoff leaves even fewer calls to correct it.
 */
const PRIOR_CALLS = 8;

/** An organisation with less than this many recent calls is forgotten. */
const NEGLIGIBLE_CALLS = 0.01;

class Share {
  arrived = 0;
  /** Recent passing calls, decayed. */
  calls = 0;
  /** Recent seconds times the part that passed, decayed alike. */
  exposure = 0;
  constructor(public weight: number) {}
}

/** A share's demand in calls per second, before any shedding. */
export interface ShareDemand extends waterFill.Demand {
  readonly name: string;
}

/**
 * Demand of one class by organisation. Only calls that pass the current
 * cutoff are counted, over the part that passes, so that the estimate is the
 * same whether or not the senders apply the cutoff already.
 */
export class DemandEstimate {
  private readonly shares = new Map<string, Share>();

  get size(): number {
    return this.shares.size;
  }

  noteArrival(name: string, weight: number): void {
    let share = this.shares.get(name);
    if (!share) {
      if (this.shares.size >= MAXIMUM_SHARES) return;
      share = new Share(weight);
      this.shares.set(name, share);
    }
    share.weight = Math.max(weight, 1e-6);
    share.arrived++;
  }

  /**
   * Ends a window. `passingPart` is the part of a share's ranks that passed;
   * zero means that nothing can be seen and the estimate is kept.
   */
  closeWindow(
    elapsedMs: number,
    passingPart: (name: string) => number,
  ): readonly ShareDemand[] {
    for (const [name, share] of this.shares) {
      const part = passingPart(name);
      if (part > 0) {
        share.calls = share.calls * KEPT_PART + share.arrived;
        share.exposure =
          share.exposure * KEPT_PART + (elapsedMs / 1_000) * part;
      }
      share.arrived = 0;
      if (share.calls < NEGLIGIBLE_CALLS) this.shares.delete(name);
    }
    return this.demands();
  }

  private demands(): ShareDemand[] {
    let calls = 0;
    let exposure = 0;
    for (const share of this.shares.values()) {
      calls += share.calls;
      exposure += share.weight * share.exposure;
    }
    const perWeight = calls / exposure;
    const demands: ShareDemand[] = [];
    for (const [name, share] of this.shares) {
      const prior = perWeight * share.weight;
      const amount =
        (share.calls + PRIOR_CALLS) / (share.exposure + PRIOR_CALLS / prior);
      demands.push({name, weight: share.weight, amount});
    }
    return demands;
  }
}
