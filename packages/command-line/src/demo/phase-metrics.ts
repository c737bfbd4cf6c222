/** For each organisation, the number of calls by outcome. */
export type CountsByOrganisation = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

export interface PhaseResult {
  readonly name: string;
  readonly offeredPerSecond: number;
  readonly completedPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Counts by outcome, and the counts `requests` and `repeats`. */
  readonly perOrganisation: CountsByOrganisation;
}

/** Completion and refusal ratios of one demo phase. */
export interface PhaseMetrics {
  readonly phase: string;
  /** Fraction of the calls that completed. */
  readonly completedPart: number;
  /** Organisation with the lowest fraction of completed calls. */
  readonly worstOrganisation: string;
  /** Its fraction of completed calls, divided by that of all calls. */
  readonly worstOrganisationPart: number;
  /**
   * Fraction of the calls that were within the rate and still refused, by the
   * rate limit or because the owner of the limit was unavailable.
   */
  readonly refusedWithinRate: number;
}

const RATE_LIMIT_OUTCOMES = ['notRun/limitExceeded', 'notRun/limitUnavailable'];

/**
 * Computes the metrics of each phase. `refusedWithinRate` counts every refusal
 * by a rate limit, because the load of each phase is within the rate of each
 * organisation.
 */
export function computePhaseMetrics(
  phases: readonly PhaseResult[],
): readonly PhaseMetrics[] {
  return phases.map(phase => {
    const organisations = Object.entries(phase.perOrganisation);
    const requests = sumCounts(
      organisations.map(([, counts]) => counts.requests),
    );
    const completed = sumCounts(
      organisations.map(([, counts]) => counts.completed),
    );
    const completedPart = completed / requests;
    const shares = organisations
      .map(([name, counts]) => ({
        name,
        share: (counts.completed ?? 0) / counts.requests,
      }))
      .sort((left, right) => left.share - right.share);
    const refused = sumCounts(
      RATE_LIMIT_OUTCOMES.map(reason => phase.outcomes[reason]),
    );
    return {
      phase: phase.name,
      completedPart,
      worstOrganisation: shares[0]?.name ?? '',
      worstOrganisationPart: (shares[0]?.share ?? 0) / completedPart,
      refusedWithinRate: refused / requests,
    };
  });
}

function sumCounts(counts: ReadonlyArray<number | undefined>): number {
  return counts.reduce<number>((sum, count) => sum + (count ?? 0), 0);
}
