import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as evacuatedZones from './evacuated-zones.js';
import type * as stateReports from './state-reports.js';

/** State of an evacuation as shown to operators. */
export const ZoneStatus = {
  inService: 'in service',
  evacuated: 'evacuated',
  /** The store has lost the evacuation in a restore; still in force. */
  missing: 'evacuated, missing',
} as const;
export type ZoneStatusName = (typeof ZoneStatus)[keyof typeof ZoneStatus];

/** What this host knows of one availability zone. */
export interface ZoneState {
  readonly zone: string;
  readonly status: ZoneStatusName;
  /** Of the evacuation; null for a zone in service. */
  readonly era: number | null;
  readonly revision: number | null;
  readonly source: stateReports.ChangeSource | null;
  /** Number of listed backend servers. */
  readonly listed: number;
  /** Number of those that get requests. */
  readonly usable: number;
  /** Number of listed servers that are in their cold start. */
  readonly cold: number;
}

export interface ZoneSource {
  readonly directory: Pick<
    routing.BackendServerDirectory,
    'servers' | 'allCandidates' | 'coldUntilMs'
  >;
  readonly evacuatedZones: Pick<evacuatedZones.EvacuatedZones, 'get' | 'zones'>;
}

/** Returns the states of all known zones, by name. */
export function zoneStates(
  {directory, evacuatedZones}: ZoneSource,
  nowMs: number,
): ZoneState[] {
  const listed = directory.servers();
  const usable = directory.allCandidates();
  const cold = listed.filter(
    ({instance}) => directory.coldUntilMs(instance) > nowMs,
  );
  const zones = new Set(evacuatedZones.zones);
  for (const {availabilityZone} of listed) zones.add(availabilityZone);
  return [...zones].sort().map(zone => {
    const countIn = (servers: readonly routing.BackendServer[]) =>
      servers.filter(server => server.availabilityZone === zone).length;
    const evacuation = evacuatedZones.get(zone);
    return {
      zone,
      status: statusOf(evacuation),
      era: evacuation?.era ?? null,
      revision: evacuation?.revision ?? null,
      source: evacuation?.source ?? null,
      listed: countIn(listed),
      usable: countIn(usable),
      cold: countIn(cold),
    };
  });
}

/** The response to a request for the states of the zones. */
export function zoneReport(
  state: ZoneSource & {readonly era: number},
  nowMs: number,
): {readonly era: number; readonly zones: readonly ZoneState[]} {
  return {era: state.era, zones: zoneStates(state, nowMs)};
}

/** Gauges of the zones; those of a zone that is no longer known become 0. */
export class ZoneMetrics {
  private readonly exported = new Set<string>();

  constructor(private readonly metrics: Pick<runtime.Metrics, 'gauge'>) {}

  export(states: readonly ZoneState[]): void {
    const byZone = new Map(states.map(state => [state.zone, state]));
    for (const zone of byZone.keys()) this.exported.add(zone);
    for (const zone of this.exported) {
      const state = byZone.get(zone);
      const isEvacuated = state && state.status !== ZoneStatus.inService;
      this.metrics.gauge(
        'zone_evacuated',
        '1 while the backend servers of the zone get no requests.',
        isEvacuated ? 1 : 0,
        {zone},
      );
      const counts = {
        listed: state?.listed ?? 0,
        usable: state?.usable ?? 0,
        cold: state?.cold ?? 0,
      };
      for (const [name, count] of Object.entries(counts)) {
        this.metrics.gauge(
          'zone_backend_servers',
          'Backend servers of the zone: listed, usable or cold.',
          count,
          {zone, state: name},
        );
      }
    }
  }
}

function statusOf(
  evacuation: evacuatedZones.ZoneEvacuation | null,
): ZoneStatusName {
  if (!evacuation) return ZoneStatus.inService;
  return evacuation.isMissing ? ZoneStatus.missing : ZoneStatus.evacuated;
}
