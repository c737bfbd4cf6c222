/**
 * Ages are sent and believed up to this limit, which is beyond the accepting
 * time of any evacuation.
 */
export const MAXIMUM_AGE_MS = 60_000;

/** The time since some host has learned of the evacuation of a zone. */
export interface EvacuationAge {
  readonly zone: string;
  /** Revision of the item that evacuates the zone. */
  readonly revision: number;
  readonly ageMs: number;
}

/** Encodes ages for a report to peers. */
export function encode(ages: readonly EvacuationAge[]): readonly unknown[] {
  return ages.map(({ageMs, revision, zone}) => [zone, revision, ageMs]);
}

/**
 * Returns no ages if the value is not a valid list of them, as in reports of
 * earlier releases.
 */
export function decode(raw: unknown): readonly EvacuationAge[] {
  if (!Array.isArray(raw)) return [];
  const ages: EvacuationAge[] = [];
  for (const entry of raw as unknown[]) {
    if (!Array.isArray(entry)) return [];
    const [zone, revision, ageMs] = entry as unknown[];
    if (typeof zone !== 'string' || !Number.isSafeInteger(revision)) return [];
    if (typeof ageMs !== 'number' || !(ageMs >= 0)) return [];
    ages.push({zone, revision: revision as number, ageMs});
  }
  return ages;
}
