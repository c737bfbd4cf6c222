import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

/** Number of platform readers in each availability zone. */
export const READERS_PER_ZONE = 3;

/** Relay peers chosen by rendezvous hashing; a random peer is added to them. */
export const RELAY_FANOUT = 4;

/** Whether `hostId` is a platform reader of its availability zone. */
export function isReader(
  hostId: string,
  availabilityZone: string,
  availableHosts: readonly declaration.HostEntry[],
): boolean {
  const zone = availableHosts.filter(
    host => host.availabilityZone === availabilityZone,
  );
  return runtime
    .rendezvousOrder(`reader|${availabilityZone}`, zone, host => host.hostId)
    .slice(0, READERS_PER_ZONE)
    .some(host => host.hostId === hostId);
}

/**
 * Returns the relay peers of a host: two in its own availability zone and the
 * rest in distinct other zones, so that the relay graph connects all zones.
 */
export function chooseRelays(
  self: declaration.HostEntry,
  availableHosts: readonly declaration.HostEntry[],
): declaration.HostEntry[] {
  const order = runtime.rendezvousOrder(
    `relay|${self.hostId}`,
    availableHosts.filter(host => host.hostId !== self.hostId),
    host => host.hostId,
  );
  const chosen: declaration.HostEntry[] = order
    .filter(host => host.availabilityZone === self.availabilityZone)
    .slice(0, RELAY_FANOUT / 2);
  const zones = new Set([self.availabilityZone]);
  for (const host of order) {
    if (chosen.length >= RELAY_FANOUT) break;
    if (zones.has(host.availabilityZone)) continue;
    zones.add(host.availabilityZone);
    chosen.push(host);
  }
  for (const host of order) {
    if (chosen.length >= RELAY_FANOUT) break;
    if (!chosen.includes(host)) chosen.push(host);
  }
  return chosen;
}
