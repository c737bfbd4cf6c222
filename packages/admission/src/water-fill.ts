/** Demand and weight of one organisation. */
export interface Demand {
  readonly weight: number;
  readonly amount: number;
}

/**
 * Computes the max-min fair division of `capacity` by weight (water filling):
 * no share exceeds its demand. Returns the capacity per unit of weight at which
 * demands are cut, or infinity if all demands fit.
 */
export function fairShareLevel(
  demands: readonly Demand[],
  capacity: number,
): number {
  const ordered = [...demands].sort(
    (first, second) =>
      first.amount / first.weight - second.amount / second.weight,
  );
  let weight = ordered.reduce((sum, demand) => sum + demand.weight, 0);
  let remaining = Math.max(0, capacity);
  for (const demand of ordered) {
    const level = remaining / weight;
    if (demand.amount / demand.weight > level) return level;
    remaining -= demand.amount;
    weight -= demand.weight;
  }
  return Number.POSITIVE_INFINITY;
}
