import * as runtime from '@camphorwharf/runtime';

/**
 * Hosts of the fleet that watch the platform. With three, the loss of any two
 * of them delays no change.
 */
const READER_COUNT = 3;

/** Hosts of each availability zone that pass on what readers know. */
const RELAYS_PER_ZONE = 2;

/** A host whose daemon takes part in the distribution of published state. */
export interface ListedHost {
  readonly address: string;
  readonly availabilityZone: string;
}

/** Position of one host in the distribution of published state. */
export interface DistributionRole {
  /** Whether this host watches the platform. */
  readonly isReader: boolean;
  /** Hosts that this one informs of changes and of its contact. */
  readonly downstream: ReadonlySet<string>;
  /** Hosts that inform this one. */
  readonly upstream: ReadonlySet<string>;
}

const NO_HOSTS: ReadonlySet<string> = new Set();

/** The role of a host that knows of no other host. */
export const SOLE_READER: DistributionRole = {
  isReader: true,
  downstream: NO_HOSTS,
  upstream: NO_HOSTS,
};

const UNINFORMED: DistributionRole = {
  isReader: false,
  downstream: NO_HOSTS,
  upstream: NO_HOSTS,
};

/**
 * Decides which hosts watch the platform and who informs whom: readers inform
 * the relays of every availability zone, relays the hosts of their own zone.
 * The number of calls to the platform is thus independent of the size of the
 * fleet, and a host informs as many others as its zone has. Rendezvous hashing
 * keeps most roles when the list changes.
 *
 * Readers and relays are chosen from the published list alone, so that hosts
 * agree on them. `unlisted` are hosts whose daemons still run after the list
 * has dropped them; they are informed like the others.
 */
export function distributionRole(
  ownAddress: string,
  hosts: readonly ListedHost[],
  unlisted: readonly ListedHost[] = [],
): DistributionRole {
  if (hosts.length === 0) return SOLE_READER;
  const own = [...hosts, ...unlisted].find(
    ({address}) => address === ownAddress,
  );
  // No other host knows this one, so it asks the platform itself.
  if (!own) return UNINFORMED;
  const unlistedOfZone = unlisted.filter(
    ({availabilityZone}) => availabilityZone === own.availabilityZone,
  );
  const zones = groupByZone(hosts);
  const readers = selectReaders(zones);
  const relaysByZone = [...zones].map(
    ([zone, members]) =>
      [zone, rank(`relay ${zone}`, members).slice(0, RELAYS_PER_ZONE)] as const,
  );
  const relays = relaysByZone.flatMap(([, members]) => members);
  const ownRelays = new Map(relaysByZone).get(own.availabilityZone) ?? [];
  const isReader = readers.includes(own);
  const isRelay = ownRelays.includes(own);
  const downstream = [
    ...(isReader ? relays : []),
    ...(isRelay ? (zones.get(own.availabilityZone) ?? []) : []),
    ...(isRelay ? unlistedOfZone : []),
  ];
  const upstream = [...(isRelay ? readers : []), ...ownRelays];
  return {
    isReader,
    downstream: addressesOfOthers(downstream, ownAddress),
    upstream: addressesOfOthers(upstream, ownAddress),
  };
}

/** Readers are in different availability zones if there are enough of them. */
function selectReaders(
  zones: ReadonlyMap<string, readonly ListedHost[]>,
): readonly ListedHost[] {
  const ranked = [...zones].map(([zone, members]) =>
    rank(`reader ${zone}`, members),
  );
  const longest = Math.max(0, ...ranked.map(members => members.length));
  const readers: ListedHost[] = [];
  for (let place = 0; place < longest; place++) {
    const candidates = ranked.flatMap(members =>
      members.slice(place, place + 1),
    );
    readers.push(...rank('reader', candidates));
    if (readers.length >= READER_COUNT) break;
  }
  return readers.slice(0, READER_COUNT);
}

function groupByZone(hosts: readonly ListedHost[]): Map<string, ListedHost[]> {
  const zones = new Map<string, ListedHost[]>();
  for (const host of hosts) {
    const members = zones.get(host.availabilityZone);
    if (members) members.push(host);
    else zones.set(host.availabilityZone, [host]);
  }
  return zones;
}

function rank(key: string, hosts: readonly ListedHost[]): ListedHost[] {
  return runtime.rendezvousOrder(key, hosts, ({address}) => address);
}

function addressesOfOthers(
  hosts: readonly ListedHost[],
  ownAddress: string,
): ReadonlySet<string> {
  const addresses = new Set(hosts.map(({address}) => address));
  addresses.delete(ownAddress);
  return addresses;
}
