/** One organisation's demand and weight. */
export interface Demand {
  readonly weight: number;
  readonly amount: number;
}

/**
 * Divides `capacity` in proportion to weights, giving no one more than its
 * demand. Returns the amount per unit of weight at which the demands are cut;
 * infinity when all demands fit.
 */
export function fairLevel(
  demands: readonly Demand[],
  capacity: number,
): number {
  const ordered = [...demands].sort(
    (first, second) =>
      first.amount / first.weight - second.amount / second.weight,
  );
  let weight = ordered.reduce((sum, demand) => sum + demand.weight, 0);
  let left = Math.max(0, capacity);
  for (const demand of ordered) {
    const level = left / weight;
    if (demand.amount / demand.weight > level) return level;
    left -= demand.amount;
    weight -= demand.weight;
  }
  return Number.POSITIVE_INFINITY;
}
