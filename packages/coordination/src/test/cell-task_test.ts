import * as protocol from '@camphorwharf/protocol';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

const SHARD = coordination.bucketShard('sahab');

async function startCell(
  seed: number,
  hosts: number,
  startMs = 10_000,
): Promise<fakeFleet.FakeFleet> {
  const fleet = new fakeFleet.FakeFleet(seed, {cell: true});
  fleet.publishDocument(1);
  const indexes = Array.from({length: hosts}, (_, index) => index);
  fleet.publishHosts(indexes.map(fakeFleet.hostEntry));
  for (const index of indexes) fleet.start(index);
  await fleet.clock.advance(startMs);
  return fleet;
}

/** Host ids of the daemons that are currently permitted to serve the shard. */
function ownersOf(fleet: fakeFleet.FakeFleet, shard = SHARD): string[] {
  const nowMs = fleet.clock.monotonicMs();
  return [...fleet.daemons.values()]
    .filter(
      ({cell}) => cell.membership?.permission(shard, nowMs).kind === 'granted',
    )
    .map(({self}) => self.hostId);
}

function ownerIndex(fleet: fakeFleet.FakeFleet): number {
  return Number(ownersOf(fleet)[0]?.slice('host-'.length));
}

/** Advances in steps; returns the maximum number of simultaneous owners. */
async function maximumOwnersDuring(
  fleet: fakeFleet.FakeFleet,
  milliseconds: number,
): Promise<number> {
  let maximum = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
    await fleet.clock.advance(50);
    maximum = Math.max(maximum, ownersOf(fleet).length);
  }
  return maximum;
}

// Guards against two simultaneous owners, and against a cell that does not
// recover although a majority of its members is left.
const faultCases = [
  {
    name: 'the loss of the owner',
    apply: (fleet: fakeFleet.FakeFleet, owner: number) => fleet.stop(owner),
    newOwner: true,
  },
  {
    name: 'a restart of the owner',
    apply: (fleet: fakeFleet.FakeFleet, owner: number) =>
      void fleet.start(owner),
    newOwner: null,
  },
  {
    name: 'a partition of the owner from the others',
    apply: (fleet: fakeFleet.FakeFleet, owner: number) => {
      const others = [0, 1, 2].filter(index => index !== owner);
      fleet.network.partition(
        others.map(index => `host-${index}`),
        [`host-${owner}`],
      );
    },
    newOwner: true,
  },
  {
    name: 'the loss of a member that owns nothing',
    apply: (fleet: fakeFleet.FakeFleet, owner: number) =>
      fleet.stop((owner + 1) % 3),
    newOwner: false,
  },
];
for (const {name, apply, newOwner} of faultCases) {
  for (const seed of [31_001, 32_002]) {
    test(`a cell of 3 has one owner through ${name} (seed ${seed})`, async t => {
      const fleet = await startCell(seed, 3);
      const owner = ownerIndex(fleet);
      t.is(ownersOf(fleet).length, 1);
      apply(fleet, owner);
      t.is(await maximumOwnersDuring(fleet, 10_000), 1);
      t.is(ownersOf(fleet).length, 1);
      if (newOwner !== null) t.is(ownerIndex(fleet) !== owner, newOwner);
      fleet.network.partition();
      t.is(await maximumOwnersDuring(fleet, 10_000), 1);
      t.is(ownersOf(fleet).length, 1);
      fleet.stopAll();
    });
  }
}

test('a cell has no owner without a majority and recovers with one', async t => {
  const fleet = await startCell(41_001, 3);
  const owner = ownerIndex(fleet);
  const others = [0, 1, 2].filter(index => index !== owner);
  for (const index of others) fleet.stop(index);
  await fleet.clock.advance(2_500);
  t.deepEqual(ownersOf(fleet), []);
  for (const index of others) fleet.start(index, [`host-${owner}`]);
  t.is(await maximumOwnersDuring(fleet, 15_000), 1);
  t.is(ownersOf(fleet).length, 1);
  fleet.stopAll();
});

// Guards against losing bucket levels and key records during a graceful
// shutdown (V8), and against counting a level twice.
test('a leaving owner transfers its bucket and keys to the next owners', async t => {
  const fleet = await startCell(51_001, 3);
  const owner = ownerIndex(fleet);
  const client = fleet.daemons.get(`host-${(owner + 1) % 3}`);
  if (!client) return t.fail();
  const signal = new AbortController().signal;
  const claims = Array.from({length: 8}, (_, index) => ({
    organisation: 'sahab',
    idempotencyKey: `${fleet.clock.wallMs() + 900}-key${index}`,
    payloadDigest: 'd',
    requestId: `request-${index}`,
  }));
  const verdicts = Promise.all(
    claims.map(claim => client.keys.claim(claim, fleet.clock.monotonicMs())),
  );
  const spent = client.limits.spend('sahab', fleet.clock.monotonicMs(), signal);
  await fleet.clock.advance(300);
  t.is(await spent, 'granted');
  for (const verdict of await verdicts) t.like(verdict, {kind: 'claimed'});
  const leavingDaemon = fleet.daemons.get(`host-${owner}`);
  const leaving = leavingDaemon?.cell.leave(fleet.clock.monotonicMs());
  await fleet.clock.advance(2_000);
  await leaving;
  fleet.stop(owner);
  t.true((await maximumOwnersDuring(fleet, 8_000)) <= 1);
  const repeats = Promise.all(
    claims.map((claim, index) =>
      client.keys.claim(
        {...claim, requestId: `repeat-${index}`},
        fleet.clock.monotonicMs(),
      ),
    ),
  );
  await fleet.clock.advance(1_500);
  for (const verdict of await repeats) t.like(verdict, {kind: 'inProgress'});
  fleet.stopAll();
});

// Guards against unknown outcomes during a graceful shutdown: the next owner
// has the complete records, so it can tell that a key is new.
test('keys created during a graceful shutdown are claimed', async t => {
  const fleet = await startCell(52_001, 3);
  const owner = ownerIndex(fleet);
  const client = fleet.daemons.get(`host-${(owner + 1) % 3}`);
  if (!client) return t.fail();
  const claimKeys = (name: string) =>
    Promise.all(
      Array.from({length: 32}, (_, index) =>
        client.keys.claim(
          {
            organisation: 'sahab',
            idempotencyKey: `${fleet.clock.wallMs()}-${name}${index}`,
            payloadDigest: 'd',
            requestId: `${name}-${index}`,
          },
          fleet.clock.monotonicMs(),
        ),
      ),
    );
  await fleet.clock.advance(2_000);
  const before = claimKeys('before');
  await fleet.clock.advance(500);
  for (const verdict of await before) t.like(verdict, {kind: 'claimed'});
  const leavingDaemon = fleet.daemons.get(`host-${owner}`);
  const leaving = leavingDaemon?.cell.leave(fleet.clock.monotonicMs());
  await fleet.clock.advance(20);
  const during = claimKeys('during');
  await fleet.clock.advance(1_500);
  await leaving;
  for (const verdict of await during) t.like(verdict, {kind: 'claimed'});
  fleet.stopAll();
});

// Guards against control traffic above the limit of 27 KB/s per daemon.
// Heartbeats are sent four times a second on one connection per pair of hosts,
// one of them with a reading of the clock.
test('a member of a cell of 33 stays within its control traffic limit', async t => {
  const fleet = await startCell(61_001, 33, 9_000);
  t.is(ownersOf(fleet).length, 1);
  const bytes = new Map<string, number>();
  fleet.network.sentBytes = bytes;
  const seconds = 4;
  await fleet.clock.advance(seconds * 1_000);
  const heartbeat = {
    kind: 'heartbeat',
    number: 100_000,
    acknowledged: 100_000,
  } as const;
  const clockMs = 100_000_000;
  const lengths = [
    heartbeat,
    heartbeat,
    heartbeat,
    {...heartbeat, clockMs},
  ].map(frame => protocol.encodeFrame(frame).length);
  const heartbeats = lengths.reduce((sum, length) => sum + length) * 32;
  const maximum = Math.max(...bytes.values()) / seconds + heartbeats;
  t.log(`${Math.round(maximum)} B/s, of them ${heartbeats} in heartbeats`);
  t.true(maximum <= 27_000, `${maximum} B/s`);
  t.deepEqual(fleet.network.duplicatePingConnections(), []);
  fleet.stopAll();
});
