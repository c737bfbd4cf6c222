import test from 'ava';
import * as readerSelection from '../reader-selection.js';

function createFleet(zones: number, hostsPerZone: number) {
  const hosts: readerSelection.ListedHost[] = [];
  for (let zone = 0; zone < zones; zone++) {
    for (let index = 0; index < hostsPerZone; index++) {
      hosts.push({
        address: `10.${zone}.${index >> 8}.${index & 255}`,
        availabilityZone: `zone-${zone}`,
      });
    }
  }
  return hosts;
}

/** Hosts that an origin reaches by informing others, within some steps. */
function reachedFrom(
  origins: readonly string[],
  roles: ReadonlyMap<string, readerSelection.DistributionRole>,
  failed: ReadonlySet<string>,
  steps: number,
): Set<string> {
  let reached = new Set(origins.filter(address => !failed.has(address)));
  for (let step = 0; step < steps; step++) {
    const next = new Set(reached);
    for (const address of reached) {
      for (const host of roles.get(address)?.downstream ?? []) {
        if (!failed.has(host)) next.add(host);
      }
    }
    reached = next;
  }
  return reached;
}

function rolesOf(hosts: readonly readerSelection.ListedHost[]) {
  return new Map(
    hosts.map(
      ({address}) =>
        [address, readerSelection.distributionRole(address, hosts)] as const,
    ),
  );
}

/** Guards against calls and connections that grow with the fleet. */
const FLEETS: ReadonlyArray<readonly [string, number, number]> = [
  ['a single host', 1, 1],
  ['two hosts', 1, 2],
  ['14 hosts in 3 zones', 3, 5],
  ['30 hosts in 5 zones', 5, 6],
  ['195 hosts in 5 zones', 5, 39],
  ['1,000 hosts in 5 zones', 5, 200],
];
for (const [name, zones, hostsPerZone] of FLEETS) {
  test(`every host is informed: ${name}`, t => {
    const hosts = createFleet(zones, hostsPerZone);
    const roles = rolesOf(hosts);
    const readers = hosts
      .map(({address}) => address)
      .filter(address => roles.get(address)?.isReader);
    t.is(readers.length, Math.min(3, hosts.length));
    t.is(reachedFrom(readers, roles, new Set(), 2).size, hosts.length);
    for (const {downstream} of roles.values()) {
      t.true(downstream.size <= 2 * zones + hostsPerZone);
    }
  });
}

test('the loss of two readers and of a relay of each zone delays no host', t => {
  // Guards against one host that all others depend on.
  const hosts = createFleet(5, 39);
  const roles = rolesOf(hosts);
  const addresses = hosts.map(({address}) => address);
  const readers = addresses.filter(address => roles.get(address)?.isReader);
  const relays = addresses.filter(
    address => (roles.get(address)?.downstream.size ?? 0) >= 38,
  );
  const oneRelayPerZone = relays.filter(
    (address, index) =>
      relays.findIndex(other => other.startsWith(address.slice(0, 5))) ===
        index && !readers.includes(address),
  );
  const failed = new Set([...readers.slice(0, 2), ...oneRelayPerZone]);
  const reached = reachedFrom(readers, roles, failed, 2);
  t.is(reached.size, hosts.length - failed.size);
});

test('readers are in different availability zones', t => {
  // Guards against readers that are lost with one zone.
  const hosts = createFleet(5, 39);
  const roles = rolesOf(hosts);
  const zones = hosts
    .filter(({address}) => roles.get(address)?.isReader)
    .map(({availabilityZone}) => availabilityZone);
  t.is(new Set(zones).size, 3);
});

test('a change of the list moves few roles', t => {
  // Guards against a fleet that reads everything anew at each change.
  const hosts = createFleet(5, 39);
  const before = rolesOf(hosts);
  const leaving = hosts.find(({address}) => {
    const role = before.get(address);
    return role && !role.isReader && role.downstream.size === 0;
  });
  const after = rolesOf(hosts.filter(host => host !== leaving));
  for (const [address, role] of after) {
    const previous = before.get(address) ?? readerSelection.SOLE_READER;
    t.is(role.isReader, previous.isReader);
    t.deepEqual(role.upstream, previous.upstream);
  }
});

test('a host that is not listed does not watch for others', t => {
  // Guards against a whole fleet that watches while its servers register.
  const hosts = createFleet(3, 5);
  const role = readerSelection.distributionRole('10.9.0.1', hosts);
  t.false(role.isReader);
  t.is(role.downstream.size, 0);
  t.true(readerSelection.distributionRole('10.9.0.1', []).isReader);
});

test('relays of its zone inform a host that has left the list', t => {
  // Guards against a daemon that learns last that its own server has left.
  const hosts = createFleet(3, 5);
  const roles = rolesOf(hosts);
  const leaving = hosts.find(({address}) => roles.get(address)?.isReader);
  if (!leaving) return t.fail();
  const listed = hosts.filter(host => host !== leaving);
  const role = (address: string) =>
    readerSelection.distributionRole(address, listed, [leaving]);
  t.false(role(leaving.address).isReader);
  t.is(role(leaving.address).downstream.size, 0);
  t.is(role(leaving.address).upstream.size, 2);
  for (const relay of role(leaving.address).upstream) {
    t.true(role(relay).downstream.has(leaving.address));
  }
});
