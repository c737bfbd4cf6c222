import type * as declaration from '@camphorwharf/declaration';

/** Fair queue weight for unknown organisations and without a document. */
const DEFAULT_WEIGHT = 1;

/** Weights of organisations in the fair queue: their rates. */
export class QueueWeights {
  private openRouteWeight = DEFAULT_WEIGHT;

  setDocument({organisations}: declaration.PublishedDocument): void {
    // Calls without a key get the fair share of the smallest organisation.
    this.openRouteWeight = Math.min(
      ...organisations.map(({ratePerSecond}) => ratePerSecond),
      Number.MAX_SAFE_INTEGER,
    );
  }

  /** `organisation` is null for calls without a key. */
  weightOf(
    organisation: string | null,
    index: declaration.DocumentIndex | null,
  ): number {
    if (organisation === null) return this.openRouteWeight;
    return index?.organisation(organisation)?.ratePerSecond ?? DEFAULT_WEIGHT;
  }
}
