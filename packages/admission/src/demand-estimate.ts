import type * as waterFill from './water-fill.js';

/** Maximum number of organisations tracked per importance class. */
const MAXIMUM_SHARES = 512;

/** Factor by which each new window decays the weight of earlier windows. */
const DECAY_FACTOR = 0.8;

/**
 * Weight, in calls, of the class average as a prior for each organisation.
 * Without a prior, the few calls of a small organisation yield a random cutoff,
 * and a low cutoff leaves even fewer calls to correct it.
 */
const PRIOR_CALLS = 8;

/** Organisations with fewer recent calls than this are dropped. */
const NEGLIGIBLE_CALLS = 0.01;

class ShareEstimate {
  arrivals = 0;
  /** Decayed count of calls that passed the cutoff. */
  calls = 0;
  /** Decayed sum of seconds multiplied by the fraction that passed. */
  exposure = 0;
  constructor(public weight: number) {}
}

/** Demand of a share in calls per second, before shedding. */
export interface ShareDemand extends waterFill.Demand {
  readonly name: string;
}

/**
 * Estimates the demand of one importance class by organisation. Only calls that
 * pass the current cutoff are counted, and the count is divided by the fraction
 * that passes. The estimate is therefore the same whether or not senders
 * already apply the cutoff.
 */
export class DemandEstimate {
  private readonly shares = new Map<string, ShareEstimate>();

  get size(): number {
    return this.shares.size;
  }

  noteArrival(name: string, weight: number): void {
    let share = this.shares.get(name);
    if (!share) {
      if (this.shares.size >= MAXIMUM_SHARES) return;
      share = new ShareEstimate(weight);
      this.shares.set(name, share);
    }
    share.weight = Math.max(weight, 1e-6);
    share.arrivals++;
  }

  /**
   * Ends a window and returns the estimates. `passingFraction` returns the
   * fraction of a share's ranks that passed; at 0 nothing can be observed and
   * the previous estimate is kept.
   */
  closeWindow(
    elapsedMs: number,
    passingFraction: (name: string) => number,
  ): readonly ShareDemand[] {
    for (const [name, share] of this.shares) {
      const fraction = passingFraction(name);
      if (fraction > 0) {
        share.calls = share.calls * DECAY_FACTOR + share.arrivals;
        share.exposure =
          share.exposure * DECAY_FACTOR + (elapsedMs / 1_000) * fraction;
      }
      share.arrivals = 0;
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
    const callsPerWeight = calls / exposure;
    const demands: ShareDemand[] = [];
    for (const [name, share] of this.shares) {
      const priorRate = callsPerWeight * share.weight;
      const amount =
        (share.calls + PRIOR_CALLS) /
        (share.exposure + PRIOR_CALLS / priorRate);
      demands.push({name, weight: share.weight, amount});
    }
    return demands;
  }
}
