import type * as configuration from './fleet-configuration.js';

/**
 * Distributes requests over destinations in proportion to their weights, by
 * smooth weighted round robin: after any number of requests each destination
 * is less than one request away from its share.
 */
export class WeightedSplit {
  private readonly credits: number[];
  private readonly totalWeight: number;

  constructor(
    private readonly destinations: readonly configuration.Destination[],
  ) {
    this.credits = destinations.map(() => 0);
    this.totalWeight = destinations.reduce((sum, one) => sum + one.weight, 0);
  }

  /** Returns the service of the next request, or null without destinations. */
  next(): string | null {
    if (this.destinations.length === 0) return null;
    let best = 0;
    for (let index = 0; index < this.destinations.length; index++) {
      this.credits[index] += this.destinations[index].weight;
      if (this.credits[index] > this.credits[best]) best = index;
    }
    this.credits[best] -= this.totalWeight;
    return this.destinations[best].service;
  }
}
