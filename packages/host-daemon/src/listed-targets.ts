import type * as routing from '@camphorwharf/routing';
import type * as evacuatedZones from './evacuated-zones.js';

/** Number of targets of a service that are shown. */
const MAXIMUM_TARGETS = 50;

/** Why a listed backend server is no candidate. */
export const ListExclusion = {
  draining: 'draining',
  /** Its zone is evacuated. */
  evacuated: 'evacuated',
  /** A newer backend server is listed at its address. */
  replaced: 'replaced',
} as const;
export type ListExclusionName = keyof typeof ListExclusion;

/** A listed backend server and what a request would find there. */
export interface TargetEntry {
  readonly instance: string;
  readonly host: string;
  readonly zone: string;
  readonly slots: number;
  /** Whether its entry says that it is cold. */
  readonly isListedCold: boolean;
  readonly exclusion: routing.CandidateExclusionName | ListExclusionName | null;
  /** Null for a server that is no candidate. */
  readonly candidate: Omit<
    routing.CandidatePreview,
    'exclusion' | 'server'
  > | null;
}

export interface TargetList {
  /** The candidates, those that get most requests first; then the others. */
  readonly targets: readonly TargetEntry[];
  /** Number of listed servers that are not shown. */
  readonly omittedTargets: number;
}

/** Lists the backend servers of a service with the candidates first. */
export function targetList(
  service: string,
  candidates: readonly routing.CandidatePreview[],
  state: {
    readonly directory: Pick<
      routing.BackendServerDirectory,
      'coldUntilMs' | 'servers'
    >;
    readonly evacuatedZones: Pick<evacuatedZones.EvacuatedZones, 'get'>;
  },
  nowMs: number,
): TargetList {
  const {directory, evacuatedZones} = state;
  const entryOf = (
    {availabilityZone, hostAddress, instance, slots}: routing.BackendServer,
    exclusion: TargetEntry['exclusion'],
    candidate: TargetEntry['candidate'],
  ): TargetEntry => ({
    instance,
    host: hostAddress,
    zone: availabilityZone,
    slots,
    isListedCold: directory.coldUntilMs(instance) > nowMs,
    exclusion,
    candidate,
  });
  const previewed = new Set(candidates.map(({server}) => server.instance));
  const others = directory
    .servers()
    .filter(server => server.service === service)
    .filter(({instance}) => !previewed.has(instance));
  const exclusionOf = (server: routing.BackendServer): ListExclusionName => {
    if (server.phase !== 'ready') return 'draining';
    const isEvacuated = evacuatedZones.get(server.availabilityZone) !== null;
    return isEvacuated ? 'evacuated' : 'replaced';
  };
  const targets = [
    ...candidates.map(({exclusion, server, ...candidate}) =>
      entryOf(server, exclusion, candidate),
    ),
    ...others.map(server => entryOf(server, exclusionOf(server), null)),
  ];
  return {
    targets: targets.slice(0, MAXIMUM_TARGETS),
    omittedTargets: Math.max(0, targets.length - MAXIMUM_TARGETS),
  };
}
