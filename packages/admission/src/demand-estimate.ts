import * as waterFill from './water-fill.js';

/** Organisations remembered in one class. */
const MAXIMUM_SHARES = 512;

/** Part by which one window moves the estimate. */
const STEP = 0.3;

/** An organisation below this many calls per second is forgotten. */
const NEGLIGIBLE_PER_SECOND = 0.05;

class Share {
  arrived = 0;
  perSecond = 0;
  constructor(public weight: number) {}
}

/** A share's demand in calls per second, before any shedding. */
export interface ShareDemand extends waterFill.Demand {
  readonly name: string;
}

/**
 * Demand of one class by organisation. Only calls that pass the current
 * cutoff are counted, divided by the part that passes, so that the estimate
 * is the same whether or not the senders apply the cutoff already.
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
    const demands: ShareDemand[] = [];
    for (const [name, share] of this.shares) {
      const part = passingPart(name);
      if (part > 0) {
        const seen = (share.arrived * 1_000) / elapsedMs / part;
        share.perSecond += (seen - share.perSecond) * STEP;
      }
      share.arrived = 0;
      if (share.perSecond < NEGLIGIBLE_PER_SECOND) this.shares.delete(name);
      else {
        demands.push({name, weight: share.weight, amount: share.perSecond});
      }
    }
    return demands;
  }
}
