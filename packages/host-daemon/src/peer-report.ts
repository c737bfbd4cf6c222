import type * as fleetLimits from '@camphorwharf/fleet-limits';
import * as evacuationAges from './evacuation-ages.js';
import type * as freshnessTracker from './freshness-tracker.js';
import * as publishedState from './published-state.js';

/** The report that each host sends to the others several times a second. */
export interface PeerReport extends publishedState.StatePosition {
  readonly host: string;
  readonly incarnation: string;
  /** Time since the start of the process. */
  readonly ageMs: number;
  /** Whether the host's daemon or backend server accepts no further work. */
  readonly leaving: boolean;
  /** Null in a report that only tells of published state and contact. */
  readonly uses: fleetLimits.UsesReport | null;
  readonly pressure: number;
  readonly downstreamPressure: number;
  /** See `ReportedLoad.ownPressure`. */
  readonly ownPressure?: number;
  /** See `ReportedLoad.slotPressure`. */
  readonly slotPressure?: number;
  /** See `ReportedLoad.poorShare`. */
  readonly poorShare?: number;
  /**
   * Null if the host has not reached the platform, or runs an earlier release.
   */
  readonly contact: freshnessTracker.ContactReport | null;
  /**
   * Ages of recent evacuations; none if the host runs an earlier release.
   */
  readonly evacuationAges: readonly evacuationAges.EvacuationAge[];
  /** Whether the host forwards reports in its zone; earlier releases do not. */
  readonly forwards: boolean;
}

export function encodeUses(
  uses: readonly fleetLimits.UseReport[],
): readonly unknown[] {
  return uses.map(use => [use.organisation, use.used, use.demand, use.level]);
}

/** Encodes the ages and the duration of a contact for a report. */
export function encodeContact(
  contact: freshnessTracker.ContactReport,
): readonly number[] {
  return [
    contact.configurationAgeMs,
    contact.serversAgeMs,
    contact.serversContactMs,
    contact.relayedConfigurationAgeMs,
    contact.relayedServersAgeMs,
  ].map(Math.round);
}

/** Returns null if the value is not a valid report. */
export function decodeReport(
  raw: Readonly<Record<string, unknown>>,
): PeerReport | null {
  const {host, incarnation, ageMs, leaving, configuration, revision, uses} =
    raw;
  if (typeof host !== 'string' || typeof incarnation !== 'string') return null;
  if (typeof ageMs !== 'number' || typeof leaving !== 'boolean') return null;
  if (typeof configuration !== 'number' || typeof revision !== 'number') {
    return null;
  }
  // Earlier releases know neither eras nor evacuations.
  const {configurationEra = 0, era = 0, evacuations = 0} = raw;
  if (!isEra(era) || !isEra(configurationEra)) return null;
  if (!Number.isSafeInteger(evacuations)) return null;
  if (uses !== null && !Array.isArray(uses)) return null;
  const {downstreamPressure = 0, pressure = 0} = raw;
  if (!isRatio(pressure) || !isRatio(downstreamPressure)) return null;
  const {ownPressure, poorShare, slotPressure} = raw;
  if (ownPressure !== undefined && !isRatio(ownPressure)) return null;
  if (slotPressure !== undefined && !isRatio(slotPressure)) return null;
  if (poorShare !== undefined && !isRatio(poorShare)) return null;
  const decoded: fleetLimits.UseReport[] = [];
  for (const use of (uses ?? []) as unknown[]) {
    if (!Array.isArray(use)) return null;
    const [organisation, used, demand, level] = use as unknown[];
    if (typeof organisation !== 'string') return null;
    if (![used, demand, level].every(Number.isFinite)) return null;
    decoded.push({
      organisation,
      used: used as number,
      demand: demand as number,
      level: level as number,
    });
  }
  return {
    host,
    incarnation,
    ageMs,
    leaving,
    configuration,
    configurationEra,
    revision,
    era,
    evacuations: evacuations as number,
    // Earlier releases report every organisation and send no `complete`.
    uses:
      uses === null
        ? null
        : {uses: decoded, isComplete: raw['complete'] !== false},
    pressure,
    downstreamPressure,
    ...(ownPressure === undefined ? {} : {ownPressure}),
    ...(slotPressure === undefined ? {} : {slotPressure}),
    ...(poorShare === undefined ? {} : {poorShare}),
    contact: decodeContact(raw['contact']),
    evacuationAges: evacuationAges.decode(raw['evacuationAges']),
    forwards: raw['forwards'] === true,
  };
}

function decodeContact(raw: unknown): freshnessTracker.ContactReport | null {
  // Earlier releases send the first three values only.
  if (!Array.isArray(raw) || (raw.length !== 3 && raw.length !== 5)) {
    return null;
  }
  const isDuration = (value: unknown) =>
    typeof value === 'number' && value >= 0;
  if (!raw.every(isDuration)) return null;
  const [
    configurationAgeMs,
    serversAgeMs,
    serversContactMs,
    relayedConfigurationAgeMs = Infinity,
    relayedServersAgeMs = Infinity,
  ] = raw as readonly number[];
  return {
    configurationAgeMs,
    serversAgeMs,
    serversContactMs,
    relayedConfigurationAgeMs,
    relayedServersAgeMs,
  };
}

function isEra(value: unknown): value is number {
  return (
    Number.isInteger(value) &&
    (value as number) >= 0 &&
    (value as number) < publishedState.ERA_LIMIT
  );
}

function isRatio(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= 1;
}
