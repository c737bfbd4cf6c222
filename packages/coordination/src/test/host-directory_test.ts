import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as coordination from '../index.js';
import * as topology from '../topology.js';
import * as fakeFleet from './fake-fleet.js';

const HOSTS = [0, 1, 2].map(fakeFleet.hostEntry);

function createDirectory(): coordination.HostDirectory {
  const directory = new coordination.HostDirectory({
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
  });
  directory.offerList({revision: 1, hosts: HOSTS}, 0);
  return directory;
}

function liveIds(directory: coordination.HostDirectory, nowMs: number) {
  return directory.liveHosts('catalogue', nowMs).map(({hostId}) => hostId);
}

// Guards against new work for a host after the first sign of its departure.
const signCases: ReadonlyArray<
  readonly [string, (directory: coordination.HostDirectory) => void]
> = [
  [
    'the list',
    directory => {
      const hosts = HOSTS.map(host =>
        host.hostId === 'host-1' ? {...host, state: 'leaving' as const} : host,
      );
      directory.offerList({revision: 2, hosts}, 10);
    },
  ],
  [
    'a notice',
    directory => directory.noteLeaving('host-1', 'i1', 'notice', 10),
  ],
  [
    'its backend server',
    directory => directory.noteLeaving('host-1', null, 'backendHealth', 10),
  ],
];
for (const [name, sign] of signCases) {
  test(`a host is excluded at once when ${name} says that it leaves`, t => {
    const directory = createDirectory();
    t.deepEqual(liveIds(directory, 9), ['host-0', 'host-1', 'host-2']);
    sign(directory);
    t.deepEqual(liveIds(directory, 10), ['host-0', 'host-2']);
    // A newer list that lags behind the departure does not readmit it.
    directory.offerList({revision: 2, hosts: HOSTS}, 20);
    t.deepEqual(liveIds(directory, 20), ['host-0', 'host-2']);
    // Neither does an answer of the same process.
    directory.noteReachable('host-1', 'i1');
    t.deepEqual(liveIds(directory, 30), ['host-0', 'host-2']);
  });
}

// Guards against excluding a host after its restart.
test('a host that left returns under a new incarnation', t => {
  const directory = createDirectory();
  directory.noteLeaving('host-1', 'i1', 'notice', 10);
  directory.noteReachable('host-1', 'i2');
  t.deepEqual(liveIds(directory, 20), ['host-0', 'host-1', 'host-2']);
});

test('a host that left returns after it was delisted and listed again', t => {
  const directory = createDirectory();
  directory.noteLeaving('host-1', 'i1', 'notice', 10);
  directory.offerList({revision: 2, hosts: [HOSTS[0], HOSTS[2]]}, 20);
  directory.offerList({revision: 3, hosts: HOSTS}, 30);
  t.deepEqual(liveIds(directory, 40), ['host-0', 'host-1', 'host-2']);
});

test('an older list never replaces a newer one', t => {
  const directory = createDirectory();
  t.is(directory.offerList({revision: 0, hosts: []}, 1), 'older');
  t.is(directory.offerList({revision: 1, hosts: []}, 1), 'same');
  t.is(directory.hostList.hosts.length, 3);
});

test('suspected hosts are avoided for a time unless all are suspected', t => {
  const directory = createDirectory();
  directory.noteUnreachable('host-0', 0);
  t.deepEqual(liveIds(directory, 1), ['host-1', 'host-2']);
  directory.noteUnreachable('host-1', 1);
  directory.noteUnreachable('host-2', 1);
  t.is(liveIds(directory, 2).length, 3);
  directory.noteReachable('host-2', 'i1');
  t.deepEqual(liveIds(directory, 3), ['host-2']);
  t.is(liveIds(directory, 10_000).length, 3);
});

// Guards against cells that are too large, overlap or lie in a single zone.
for (const [hosts, cells] of [
  [14, 1],
  [1_571, 48],
  [300, 2],
]) {
  test(`${hosts} hosts in ${cells} cells form bounded cells across zones`, t => {
    const entries = Array.from({length: hosts}, (_, index) =>
      fakeFleet.hostEntry(index),
    );
    const assigned = new Set<string>();
    for (let index = 0; index < cells; index++) {
      const cellId = {region: 'jordan', index, count: cells};
      const members = topology.hostsOfCell(entries, cellId);
      t.true(members.length <= coordination.MAXIMUM_CELL_HOSTS);
      for (const {hostId} of members) {
        t.false(assigned.has(hostId));
        assigned.add(hostId);
      }
      const zones = new Set(members.map(host => host.availabilityZone));
      t.is(zones.size, 3);
    }
    t.true(assigned.size >= Math.min(hosts, cells * 20));
  });
}
