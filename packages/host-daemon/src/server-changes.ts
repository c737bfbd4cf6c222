import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as routing from '@camphorwharf/routing';
import type * as distributionPlanner from './distribution-planner.js';
import type * as fleetState from './fleet-state.js';
import type * as hostDaemonOptions from './host-daemon-options.js';
import type * as localTargetState from './local-target-state.js';
import type * as peerReporter from './peer-reporter.js';

/** What depends on the list of backend servers and on the evacuated zones. */
export interface ServerChangeRecipients {
  readonly settings: Pick<
    hostDaemonOptions.HostDaemonSettings,
    'availabilityZone'
  >;
  readonly distribution: distributionPlanner.DistributionPlanner;
  readonly loadBalancer: routing.TargetBalancer;
  readonly members: fleetLimits.FleetMembers;
  readonly reporter: peerReporter.PeerReporter;
  readonly state: fleetState.FleetState;
  readonly targetState: localTargetState.LocalTargetState;
}

/** Applies a change of the list of backend servers or the evacuated zones. */
export function applyServerChanges(
  recipients: ServerChangeRecipients,
  nowMs: number,
): void {
  const {members, reporter, settings, state, targetState} = recipients;
  const {directory, evacuatedZones} = state;
  const evacuation = evacuatedZones.get(settings.availabilityZone);
  targetState.update(directory, nowMs);
  targetState.updateEvacuation(evacuation?.sinceMs ?? null, nowMs);
  recipients.loadBalancer.retain(instance => directory.get(instance) !== null);
  const hosts = directory.servers().map(server => ({
    address: server.hostAddress,
    availabilityZone: server.availabilityZone,
  }));
  const addresses = new Set(hosts.map(({address}) => address));
  const added = members.setListed(addresses, nowMs);
  state.setDistributionRole(recipients.distribution.roleAmong(hosts));
  // Newly discovered hosts exchange their rate limit usage immediately.
  reporter.greet(added);
  reporter.informDownstream();
}
