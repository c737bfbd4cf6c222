import type * as configuration from './fleet-configuration.js';

/**
 * Distributes requests over destinations in proportion to their weights by
 * smooth weighted round robin: after any number of requests, each destination
 * deviates from its share by less than one request.
 */
export class WeightedSplit {
  private readonly currentWeights: number[];
  private readonly totalWeight: number;

  constructor(
    private readonly destinations: readonly configuration.Destination[],
  ) {
    this.currentWeights = destinations.map(() => 0);
    this.totalWeight = destinations.reduce(
      (sum, destination) => sum + destination.weight,
      0,
    );
  }

  /** Returns the service of the next request, or null without destinations. */
  next(): string | null {
    if (this.destinations.length === 0) return null;
    const best = this.nextIndex();
    for (let index = 0; index < this.destinations.length; index++) {
      this.currentWeights[index] += this.destinations[index].weight;
    }
    this.currentWeights[best] -= this.totalWeight;
    return this.destinations[best].service;
  }

  /** Returns what `next` would return, without a request. */
  peek(): string | null {
    if (this.destinations.length === 0) return null;
    return this.destinations[this.nextIndex()].service;
  }

  private nextIndex(): number {
    let best = 0;
    let bestWeight = -Infinity;
    for (let index = 0; index < this.destinations.length; index++) {
      const weight =
        this.currentWeights[index] + this.destinations[index].weight;
      if (weight > bestWeight) {
        best = index;
        bestWeight = weight;
      }
    }
    return best;
  }
}
