import type * as scenarios from './scenario.js';

/** Counts by outcome, by name of the organisation. */
export type CountsByName = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** One figure of a demo phase. */
export interface Measure {
  readonly phase: string;
  /** Part of the calls that completed, of 1. */
  readonly completedPart: number;
  /** Lowest completed part of an organisation over that of all. */
  readonly worstOrganisation: string;
  readonly worstOrganisationPart: number;
  /** Calls refused for the rate or its owner, though within the rate, of 1. */
  readonly refusedWithinRate: number;
}

const LIMIT_REFUSALS = ['notRun/limitExceeded', 'notRun/limitUnavailable'];

/** The load of each phase is within the rate of each organisation. */
export function measure(
  phases: readonly scenarios.PhaseResult[],
): readonly Measure[] {
  return phases.map(phase => {
    const organisations = Object.entries(phase.perOrganisation);
    const requests = sumOf(organisations.map(([, counts]) => counts.requests));
    const completed = sumOf(
      organisations.map(([, counts]) => counts.completed),
    );
    const completedPart = completed / requests;
    const parts = organisations
      .map(([name, counts]) => ({
        name,
        part: (counts.completed ?? 0) / counts.requests,
      }))
      .sort((left, right) => left.part - right.part);
    const refused = sumOf(LIMIT_REFUSALS.map(reason => phase.outcomes[reason]));
    return {
      phase: phase.name,
      completedPart,
      worstOrganisation: parts[0]?.name ?? '',
      worstOrganisationPart: (parts[0]?.part ?? 0) / completedPart,
      refusedWithinRate: refused / requests,
    };
  });
}

function sumOf(counts: ReadonlyArray<number | undefined>): number {
  return counts.reduce<number>((sum, count) => sum + (count ?? 0), 0);
}
