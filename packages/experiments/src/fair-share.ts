/** Demand of one organisation by importance class, class 0 first. */
export interface OrganisationDemand {
  readonly weight: number;
  readonly demands: readonly number[];
}

/**
 * The calls that each organisation would complete if `capacity` went to the
 * classes in order and, inside a class, to organisations by weight. Written
 * apart from the product's own division, which it checks.
 */
export function fairParts(
  organisations: readonly OrganisationDemand[],
  capacity: number,
): number[] {
  const parts = organisations.map(() => 0);
  let left = capacity;
  const classes = Math.max(...organisations.map(one => one.demands.length));
  for (let importance = 0; importance < classes; importance++) {
    const open = organisations.map(one => one.demands[importance]);
    // Pours the rest until every demand is met or nothing is left.
    for (;;) {
      const weight = organisations.reduce(
        (sum, one, index) => sum + (open[index] > 0 ? one.weight : 0),
        0,
      );
      if (weight === 0 || left < 1e-9) break;
      const level = Math.min(
        left / weight,
        ...organisations
          .map((one, index) => open[index] / one.weight)
          .filter(ratio => ratio > 0),
      );
      organisations.forEach((one, index) => {
        const given = Math.min(open[index], level * one.weight);
        open[index] = open[index] - given < 1e-9 ? 0 : open[index] - given;
        parts[index] += given;
        left -= given;
      });
    }
  }
  return parts;
}
