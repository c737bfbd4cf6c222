import test from 'ava';
import * as runtime from '@camphorwharf/runtime';
import * as constants from '../constants.js';
import * as cellCluster from './cell-cluster.js';

function createHostIds(count: number): string[] {
  return Array.from({length: count}, (_, index) =>
    `h${index}`.padEnd(4, String.fromCharCode(97 + (index % 26))),
  );
}

function startCluster(count: number, seed = 1): cellCluster.CellCluster {
  const hostIds = createHostIds(count);
  const cluster = new cellCluster.CellCluster(
    new runtime.SeededRandom(seed),
    hostIds,
  );
  for (const hostId of hostIds) cluster.start(hostId);
  return cluster;
}

for (const count of [1, 2, 3, 4, 7, 33]) {
  test(`a cell of ${count} becomes active, and only after the fence`, t => {
    const cluster = startCluster(count);
    cluster.run(constants.TAKEOVER_FENCE_MS - cellCluster.STEP_MS);
    t.deepEqual(cluster.owners('s1'), []);
    cluster.run(2_000);
    t.true(cluster.hasOwnerForEachShard());
    t.deepEqual(cluster.conflicts, []);
  });
}

test('members agree on one first view without repeated proposals', t => {
  const cluster = startCluster(5);
  cluster.run(10_000);
  const views = [...cluster.members.values()].map(
    member => member.adopted?.identity,
  );
  t.is(new Set(views.map(view => JSON.stringify(view))).size, 1);
  t.is(views[0]?.number, 1);
});

test('a failed member is removed and its shards get another owner', t => {
  const cluster = startCluster(5);
  cluster.run(6_000);
  const [owner] = cluster.owners('s1');
  cluster.stop(owner);
  cluster.run(constants.SUSPECT_AFTER_MS + constants.TAKEOVER_FENCE_MS + 1_500);
  t.true(cluster.hasOwnerForEachShard());
  t.not(cluster.owners('s1')[0], owner);
  t.deepEqual(cluster.conflicts, []);
});

test('a shard that keeps its owner stays owned through a view change', t => {
  const cluster = startCluster(5);
  cluster.run(6_000);
  const [owner] = cluster.owners('s1');
  const before = cluster.members.get(owner)?.permission('s1', cluster.nowMs);
  const [other] = cluster
    .owners('s2')
    .concat(createHostIds(5))
    .filter(h => h !== owner);
  cluster.stop(other);
  let refusals = 0;
  for (let elapsed = 0; elapsed < 8_000; elapsed += cellCluster.STEP_MS) {
    cluster.run(cellCluster.STEP_MS);
    if (!cluster.owners('s1').includes(owner)) refusals++;
  }
  // The new view becomes active after one exchange of pings.
  t.true(refusals * cellCluster.STEP_MS <= 500, `${refusals} refusals`);
  const after = cluster.members.get(owner)?.permission('s1', cluster.nowMs);
  t.true(before?.kind === 'granted' && after?.kind === 'granted');
  if (before?.kind === 'granted' && after?.kind === 'granted') {
    t.is(after.ownerSinceMs, before.ownerSinceMs);
  }
});

test('a leaving member is removed without the suspicion delay', t => {
  const cluster = startCluster(5);
  cluster.run(6_000);
  const [owner] = cluster.owners('s1');
  cluster.members.get(owner)?.leave(cluster.nowMs);
  t.deepEqual(cluster.owners('s1'), []);
  cluster.run(constants.TAKEOVER_FENCE_MS + 750);
  t.true(cluster.hasOwnerForEachShard());
  t.deepEqual(cluster.conflicts, []);
});

// Guards against waiting for the takeover fence after a graceful shutdown, and
// against a later view that adds the leaving member again.
for (const count of [3, 5, 14]) {
  test(`${count} members: takeover after a release waives the fence`, t => {
    const cluster = startCluster(count);
    cluster.run(6_000);
    const [owner] = cluster.owners('s1');
    cluster.members.get(owner)?.leave(cluster.nowMs);
    cluster.run(1_000);
    t.is(cluster.owners('s1').length, 1);
    t.not(cluster.owners('s1')[0], owner);
    cluster.run(constants.TAKEOVER_FENCE_MS + 2_000);
    const numbers = [...cluster.members]
      .filter(([hostId]) => hostId !== owner)
      .map(([, member]) => member.adopted?.identity.number);
    t.deepEqual([...new Set(numbers)], [2]);
    t.deepEqual(cluster.conflicts, []);
  });
}

for (const seed of [21, 22, 23, 24, 25, 26]) {
  test(`no two owners when members leave under faults; seed ${seed}`, t => {
    const random = new runtime.SeededRandom(seed);
    const cluster = startCluster(5, seed);
    cluster.maximumDelayMs = 150;
    for (let round = 0; round < 30; round++) {
      const host = createHostIds(5)[runtime.randomInteger(random, 5)];
      const choice = runtime.randomInteger(random, 4);
      const others = createHostIds(5).filter(h => h !== host);
      if (choice === 0) cluster.members.get(host)?.leave(cluster.nowMs);
      if (choice === 1) cluster.start(host);
      if (choice === 2) cluster.partition([host], others);
      if (choice === 3) cluster.partition(createHostIds(5));
      cluster.run(200 + runtime.randomInteger(random, 3_000));
    }
    t.deepEqual(cluster.conflicts, []);
  });
}

test('a restarted member returns under its new incarnation', t => {
  for (const count of [1, 2, 3, 5]) {
    const cluster = startCluster(count);
    cluster.run(6_000);
    cluster.start(createHostIds(count)[0]);
    cluster.run(9_000);
    t.true(cluster.hasOwnerForEachShard(), `${count} members`);
    const adopted = cluster.members.get(createHostIds(count)[0])?.adopted;
    t.true(adopted?.members.some(member => member.incarnation === 'i2'));
    t.deepEqual(cluster.conflicts, []);
  }
});

test('a majority that restarts at once becomes active again', t => {
  const cluster = startCluster(5);
  cluster.run(6_000);
  for (const hostId of createHostIds(5).slice(1, 4)) cluster.start(hostId);
  cluster.run(12_000);
  t.true(cluster.hasOwnerForEachShard());
  t.deepEqual(cluster.conflicts, []);
});

test('only the majority side of a partition has active owners', t => {
  const cluster = startCluster(5);
  const [a, b, c, d, e] = createHostIds(5);
  cluster.run(6_000);
  cluster.partition([a, b], [c, d, e]);
  cluster.run(8_000);
  t.true(cluster.hasOwnerForEachShard());
  t.true(cluster.owners('s1').every(owner => [c, d, e].includes(owner)));
  cluster.partition([a, b, c, d, e]);
  cluster.run(8_000);
  t.true(cluster.hasOwnerForEachShard());
  t.is(cluster.members.get(a)?.adopted?.members.length, 5);
  t.deepEqual(cluster.conflicts, []);
});

test('a restarted host without a later view reactivates no older view', t => {
  for (let seed = 1; seed <= 10; seed++) {
    const cluster = startCluster(3, seed);
    const [a, b, c] = createHostIds(3);
    cluster.run(6_000);
    cluster.partition([a, b, 'h9'], [c]);
    cluster.start('h9');
    cluster.setListedHosts([a, b, c, 'h9']);
    cluster.run(10_000);
    t.true(
      cluster.hasOwnerForEachShard(),
      'the majority with the new host is active',
    );
    cluster.stop(a);
    cluster.partition([a, c], [b, 'h9']);
    // Deliver messages in flight, so that the new process receives none that
    // were sent to the old one.
    cluster.run(100);
    cluster.start(a);
    cluster.run(20_000);
    t.deepEqual(cluster.conflicts, []);
    t.true(cluster.hasOwnerForEachShard());
    t.true(cluster.owners('s1').every(owner => [b, 'h9'].includes(owner)));
  }
});

test('hosts that restart beside a live member form no second first view', t => {
  const cluster = startCluster(3);
  const [a, b, c] = createHostIds(3);
  cluster.run(6_000);
  cluster.start(a);
  cluster.run(500);
  cluster.partition([a, b], [c]);
  cluster.start(b);
  cluster.run(20_000);
  t.deepEqual(cluster.conflicts, []);
  cluster.partition([a, b, c]);
  cluster.run(12_000);
  t.true(cluster.hasOwnerForEachShard());
  t.deepEqual(cluster.conflicts, []);
});

test('listed hosts are added, and hosts taken off the list are removed', t => {
  const cluster = startCluster(3);
  cluster.run(6_000);
  cluster.start('h9');
  cluster.setListedHosts([...createHostIds(3).slice(1), 'h9']);
  cluster.run(8_000);
  t.true(cluster.hasOwnerForEachShard());
  const adopted = cluster.members.get('h9')?.adopted;
  t.deepEqual(
    adopted?.members.map(member => member.hostId),
    [...createHostIds(3).slice(1), 'h9'],
  );
  t.deepEqual(cluster.conflicts, []);
});

test('members with different host lists do not alternate between views', t => {
  const cluster = startCluster(4);
  cluster.run(6_000);
  const [a, b, c, d] = createHostIds(4);
  cluster.members.get(a)?.setListedHosts([a, b, c], cluster.nowMs);
  cluster.members.get(b)?.setListedHosts([a, b, c, d], cluster.nowMs);
  cluster.run(5_000);
  const number = cluster.members.get(b)?.adopted?.identity.number ?? 0;
  cluster.run(30_000);
  t.is(cluster.members.get(b)?.adopted?.identity.number, number);
});

for (const seed of [11, 12, 13, 14, 15, 16, 17, 18]) {
  test(`no two owners under random faults, and recovery; seed ${seed}`, t => {
    const random = new runtime.SeededRandom(seed);
    const cluster = startCluster(5, seed);
    cluster.maximumDelayMs = 150;
    for (let round = 0; round < 25; round++) {
      cluster.lossRate = random.next() < 0.5 ? 0.2 : 0;
      const choice = runtime.randomInteger(random, 4);
      const host = createHostIds(5)[runtime.randomInteger(random, 5)];
      if (choice === 0) cluster.start(host);
      if (choice === 1) {
        cluster.partition(
          [host],
          createHostIds(5).filter(h => h !== host),
        );
      }
      if (choice === 2) cluster.partition(createHostIds(5));
      if (choice === 3) {
        cluster.partition(
          createHostIds(5).slice(0, 2),
          createHostIds(5).slice(2),
        );
      }
      cluster.run(500 + runtime.randomInteger(random, 80) * 50);
    }
    t.deepEqual(cluster.conflicts, []);
    cluster.partition(createHostIds(5));
    cluster.lossRate = 0;
    cluster.run(20_000);
    t.true(cluster.hasOwnerForEachShard());
  });
}
