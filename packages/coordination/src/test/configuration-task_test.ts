import test from 'ava';
import * as coordination from '../index.js';
import * as relayPeers from '../relay-peers.js';
import * as fakeFleet from './fake-fleet.js';

function indexes(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}

function revisionsOf(fleet: fakeFleet.FakeFleet): Set<number> {
  return new Set([...fleet.daemons.values()].map(({store}) => store.revision));
}

async function startFleet(
  seed: number,
  hosts: number,
): Promise<fakeFleet.FakeFleet> {
  const fleet = new fakeFleet.FakeFleet(seed, {cell: false});
  fleet.publishDocument(1);
  fleet.publishHosts(indexes(hosts).map(fakeFleet.hostEntry));
  for (const index of indexes(hosts)) fleet.start(index);
  await fleet.clock.advance(8_000);
  return fleet;
}

for (const seed of [11_001, 22_002]) {
  // Guards against a relay graph that does not reach all daemons, and against
  // every daemon polling the platform.
  test(`a revision reaches 60 daemons in 6 s with 9 readers (seed ${seed})`, async t => {
    const fleet = await startFleet(seed, 60);
    t.deepEqual(revisionsOf(fleet), new Set([1]));
    const readers = [...fleet.daemons.values()].filter(
      daemon =>
        daemon.configuration.role(fleet.clock.monotonicMs()) === 'reader',
    );
    t.is(readers.length, 3 * coordination.READERS_PER_ZONE);
    // Each reader has one long poll for the document and one for the host list.
    t.is(fleet.platform.waiting, 2 * readers.length);
    const readsBefore = fleet.platform.reads;
    fleet.publishDocument(2);
    await fleet.clock.advance(6_000);
    t.deepEqual(revisionsOf(fleet), new Set([2]));
    t.true(fleet.platform.reads - readsBefore <= 4 * readers.length);
    fleet.stopAll();
  });

  test(`a fleet without the platform keeps its document and starts daemons (seed ${seed})`, async t => {
    const fleet = await startFleet(seed, 12);
    fleet.platform.mode = 'down';
    await fleet.clock.advance(30_000);
    t.deepEqual(revisionsOf(fleet), new Set([1]));
    const restarted = fleet.start(5, ['host-1', 'host-2']);
    await fleet.clock.advance(3_000);
    t.is(restarted.store.revision, 1);
    t.is(restarted.directory.hostList.hosts.length, 12);
    fleet.stopAll();
  });

  test(`a platform that returns with older data reverts nothing (seed ${seed})`, async t => {
    const fleet = await startFleet(seed, 12);
    fleet.publishDocument(5);
    fleet.publishHosts(indexes(11).map(fakeFleet.hostEntry));
    await fleet.clock.advance(6_000);
    fleet.publishDocument(4);
    fleet.platform.hostList = {revision: 1, hosts: []};
    await fleet.clock.advance(30_000);
    t.deepEqual(revisionsOf(fleet), new Set([5]));
    for (const {directory} of fleet.daemons.values()) {
      t.is(directory.hostList.hosts.length, 11);
    }
    fleet.stopAll();
  });
}

// Guards against sending a large document uncompressed or not at all.
test('a document above the compression threshold is relayed', async t => {
  const fleet = await startFleet(33_003, 12);
  const pushes = () =>
    fleet.network.requestCounts.get('configurationPush') ?? 0;
  const pushesBefore = pushes();
  const document = JSON.parse(fakeFleet.documentText(2)) as {
    services: object[];
  };
  document.services = indexes(400).map(index => ({
    name: `service-${index}`,
    labels: {},
  }));
  document.services.push({name: 'catalogue', labels: {}});
  fleet.platform.document = {revision: 2, document: JSON.stringify(document)};
  await fleet.clock.advance(6_000);
  t.deepEqual(revisionsOf(fleet), new Set([2]));
  t.is(pushes(), pushesBefore);
  fleet.stopAll();
});

// Guards against relay peers in only one availability zone: a revision would
// not leave the zone in which it was read.
for (const count of [6, 14, 60]) {
  test(`the relay peers of ${count} hosts connect all of them over 3 zones`, t => {
    const hosts = indexes(count).map(fakeFleet.hostEntry);
    const reached = new Set(['host-0']);
    // An exchange transfers state in both directions.
    const links = hosts.flatMap(host => {
      const relays = relayPeers.chooseRelays(host, hosts);
      t.is(new Set(relays).size, relayPeers.RELAY_FANOUT);
      const zones = [host, ...relays].map(relay => relay.availabilityZone);
      t.is(new Set(zones).size, 3);
      return relays.map(relay => [host.hostId, relay.hostId]);
    });
    for (let size = 0; size < reached.size;) {
      size = reached.size;
      for (const [from, to] of links) {
        if (reached.has(from)) reached.add(to);
        if (reached.has(to)) reached.add(from);
      }
    }
    t.is(reached.size, count);
  });
}
