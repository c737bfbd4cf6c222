/** An upper bound on a measured value, inclusive. */
export interface Bound {
  readonly name: string;
  readonly limit: number;
  readonly unit: string;
}

/** The bounds that `docs/design.md` states in section 1. */
export const BOUNDS = {
  addedLatency: {name: 'added latency at p99', limit: 1.7, unit: 'ms'},
  incomplete: {name: 'calls not completed', limit: 0.1, unit: '%'},
  cpu: {name: 'CPU per daemon', limit: 4.5, unit: '% of a core'},
  memory: {name: 'resident memory per daemon', limit: 256, unit: 'MB'},
  traffic: {
    name: 'control bytes per daemon, sent + received',
    limit: 27,
    unit: 'KB/s',
  },
} as const satisfies Readonly<Record<string, Bound>>;

export interface Verdict extends Bound {
  readonly seen: number;
  readonly passed: boolean;
}

/** Compares a measured value with its bound; NaN does not pass. */
export function compareWithBound(bound: Bound, seen: number): Verdict {
  return {...bound, seen, passed: seen <= bound.limit};
}

/** Returns the header and the rows of the table of verdicts. */
export function verdictRows(verdicts: readonly Verdict[]): string[][] {
  return [
    ['bound', 'seen', 'limit', 'unit', 'verdict'],
    ...verdicts.map(({name, seen, limit, unit, passed}) => [
      name,
      seen.toFixed(2),
      String(limit),
      unit,
      passed ? 'passed' : 'MISSED',
    ]),
  ];
}
