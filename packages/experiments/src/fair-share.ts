/** Demand of one organisation by importance class, class 0 first. */
export interface OrganisationDemand {
  readonly weight: number;
  readonly demands: readonly number[];
}

/**
 * Returns the calls that each organisation would complete if `capacity` were
 * allocated to the classes in order and, within a class, by weighted max-min
 * fairness. Independent of the product's implementation, which it checks.
 */
export function fairShares(
  organisations: readonly OrganisationDemand[],
  capacity: number,
): number[] {
  const shares = organisations.map(() => 0);
  let remaining = capacity;
  const classes = Math.max(...organisations.map(item => item.demands.length));
  for (let importance = 0; importance < classes; importance++) {
    const unmet = organisations.map(item => item.demands[importance]);
    // Water-filling: each round satisfies at least one demand or ends.
    for (;;) {
      const activeWeight = organisations.reduce(
        (sum, item, index) => sum + (unmet[index] > 0 ? item.weight : 0),
        0,
      );
      if (activeWeight === 0 || remaining < 1e-9) break;
      const level = Math.min(
        remaining / activeWeight,
        ...organisations
          .map((item, index) => unmet[index] / item.weight)
          .filter(ratio => ratio > 0),
      );
      organisations.forEach((item, index) => {
        const given = Math.min(unmet[index], level * item.weight);
        unmet[index] = unmet[index] - given < 1e-9 ? 0 : unmet[index] - given;
        shares[index] += given;
        remaining -= given;
      });
    }
  }
  return shares;
}
