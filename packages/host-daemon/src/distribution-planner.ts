import type * as fleetLimits from '@camphorwharf/fleet-limits';
import * as readerSelection from './reader-selection.js';

/**
 * Determines the distribution role of this host. Keeps the availability zones
 * of hosts that have left the list while their daemons still run.
 */
export class DistributionPlanner {
  private zones = new Map<string, string>();

  constructor(
    private readonly own: readerSelection.ListedHost,
    private readonly members: Pick<fleetLimits.FleetMembers, 'unlistedHosts'>,
  ) {
    this.zones.set(own.address, own.availabilityZone);
  }

  /** `listed` are the hosts of the published list, which `members` has. */
  roleAmong(
    listed: readonly readerSelection.ListedHost[],
  ): readerSelection.DistributionRole {
    const {address} = this.own;
    const listedAddresses = new Set(listed.map(host => host.address));
    const unlisted = [address, ...this.members.unlistedHosts].flatMap(host => {
      const availabilityZone = this.zones.get(host);
      return availabilityZone === undefined || listedAddresses.has(host)
        ? []
        : [{address: host, availabilityZone}];
    });
    const known = [this.own, ...unlisted, ...listed];
    this.zones = new Map(
      known.map(host => [host.address, host.availabilityZone]),
    );
    return readerSelection.distributionRole(address, listed, unlisted);
  }
}
