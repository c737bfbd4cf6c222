import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';
import * as organisationLimiter from '../organisation-limiter.js';

const DOCUMENT = JSON.parse(fakeFleet.documentText(1)) as ReturnType<
  NonNullable<coordination.LimitClientOptions['document']>
>;

type SendToOwner = coordination.LimitClientOptions['owners']['send'];

function createClient(clock: runtime.Clock, send: SendToOwner) {
  return new coordination.LimitClient({
    region: 'jordan',
    document: () => DOCUMENT,
    owners: {send},
    createGrants: organisation =>
      new ownership.PrepaidGrant({
        organisation,
        holder: {hostId: 'host-0', incarnation: 'i1'},
      }),
    clock,
    metrics: new runtime.Metrics(),
  });
}

/** Spends tokens at a constant rate and counts the results. */
async function spendAtRate(
  clock: runtime.ManualClock,
  client: coordination.LimitClient,
  perSecond: number,
  milliseconds: number,
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  const endMs = clock.monotonicMs() + milliseconds;
  while (clock.monotonicMs() < endMs) {
    void client
      .spend('sahab', clock.monotonicMs(), new AbortController().signal)
      .then(result => (counts[result] = (counts[result] ?? 0) + 1));
    await clock.advance(1_000 / perSecond);
  }
  await clock.advance(1_000);
  return counts;
}

function createOwner(
  clock: runtime.Clock,
  limits: ownership.BucketLimits,
  latencyMs: number,
): {send: SendToOwner; requests: () => number; granted: () => number} {
  const buckets = new ownership.Buckets();
  let requests = 0;
  let granted = 0;
  return {
    requests: () => requests,
    granted: () => granted,
    send: async (_cellId, _shard, body) => {
      requests++;
      await clock.delay(latencyMs);
      const reply = buckets.grant(
        body as protocol.GrantRequest,
        limits,
        0,
        clock.monotonicMs(),
      );
      granted += reply.tokens;
      await clock.delay(latencyMs);
      return {kind: 'reply', reply};
    },
  };
}

// Guards against refusals within the rate, and against sending one request per
// call above it.
const loadCases = [
  {name: 'half the rate', perSecond: 50, refusals: 0, requestsPerSecond: 60},
  {
    name: '20 times the rate',
    perSecond: 2_000,
    refusals: 0.9,
    requestsPerSecond: 60,
  },
];
for (const {name, perSecond, refusals, requestsPerSecond} of loadCases) {
  test(`an organisation at ${name} sends a bounded number of requests`, async t => {
    const clock = new runtime.ManualClock(10_000);
    const owner = createOwner(clock, {ratePerSecond: 100, burst: 50}, 1);
    const client = createClient(clock, owner.send);
    const seconds = 5;
    const counts = await spendAtRate(clock, client, perSecond, seconds * 1_000);
    const calls = perSecond * seconds;
    const refused = counts['limitExceeded'] ?? 0;
    t.is(counts['limitUnavailable'] ?? 0, 0);
    t.is((counts['granted'] ?? 0) + refused, calls);
    if (refusals === 0) t.is(refused, 0);
    else t.true(refused / calls > refusals);
    t.true((counts['granted'] ?? 0) <= 100 * (seconds + 1) + 50);
    t.true((counts['granted'] ?? 0) >= Math.min(calls, 100 * seconds * 0.9));
    const messages = owner.requests() / (seconds + 1);
    t.true(messages <= requestsPerSecond, `${messages} requests per second`);
  });
}

// Guards against calls that wait indefinitely when no owner answers.
const outageCases = [
  {name: 'nobody owns the shard', kind: 'notOwner', delayMs: 1},
  {name: 'the owner does not answer', kind: 'failed', delayMs: 250},
] as const;
for (const {name, kind, delayMs} of outageCases) {
  test(`calls are refused as limitUnavailable in time when ${name}`, async t => {
    const clock = new runtime.ManualClock(10_000);
    const client = createClient(clock, async () => {
      await clock.delay(delayMs);
      return {kind};
    });
    const results: string[] = [];
    for (let call = 0; call < 20; call++) {
      void client
        .spend('sahab', clock.monotonicMs(), new AbortController().signal)
        .then(result => results.push(result));
      await clock.advance(organisationLimiter.TOKEN_WAIT_MS + 10);
      t.is(results.length, call + 1);
    }
    t.deepEqual([...new Set(results)], ['limitUnavailable']);
  });
}

// Guards against refusals within the rate that depend on the entry daemon at
// which a call arrives: 14 of them share the burst of an organisation.
const withinRateCases = [
  {ratePerSecond: 10, burst: 10, load: 5, seed: 90_001},
  {ratePerSecond: 100, burst: 50, load: 85, seed: 90_002},
];
for (const {ratePerSecond, burst, load, seed} of withinRateCases) {
  test(`14 entry daemons refuse nothing at ${load} of ${ratePerSecond} calls/s (seed ${seed})`, async t => {
    const fleet = new fakeFleet.FakeFleet(seed, {cell: true});
    const indexes = Array.from({length: 14}, (_, index) => index);
    fleet.publishDocument(1, {ratePerSecond, burst});
    fleet.publishHosts(indexes.map(fakeFleet.hostEntry));
    for (const index of indexes) fleet.start(index);
    await fleet.clock.advance(12_000);
    const random = fleet.createRandom();
    const results: string[] = [];
    for (let call = 0; call < load * 8; call++) {
      await fleet.clock.advance((-Math.log(1 - random.next()) / load) * 1_000);
      const entry = fleet.daemons.get(
        `host-${runtime.randomInteger(random, 14)}`,
      );
      const nowMs = fleet.clock.monotonicMs();
      void entry?.limits
        .spend('sahab', nowMs, new AbortController().signal)
        .then(result => results.push(result));
    }
    await fleet.clock.advance(100);
    t.is(results.length, load * 8);
    t.deepEqual([...new Set(results)], ['granted']);
    fleet.stopAll();
  });
}

// Guards against an entry daemon outside the owner's cell that does not find
// the owner or repeats the search for each request.
test('entry daemons of both cells find the owner by following hints', async t => {
  const fleet = new fakeFleet.FakeFleet(91_001, {cell: true});
  const indexes = Array.from({length: 10}, (_, index) => index);
  fleet.publishDocument(1, {cells: 2});
  fleet.publishHosts(indexes.map(fakeFleet.hostEntry));
  for (const index of indexes) fleet.start(index);
  await fleet.clock.advance(12_000);
  const cells = new Set(
    [...fleet.daemons.values()].map(({cell}) => cell.membership?.cell),
  );
  t.is(cells.size, 2);
  const requests = () => fleet.network.requestCounts.get('grant') ?? 0;
  const results: string[] = [];
  const requestsPerRound: number[] = [];
  for (let round = 0; round < 3; round++) {
    const before = requests();
    for (const {limits} of fleet.daemons.values()) {
      void limits
        .spend('sahab', fleet.clock.monotonicMs(), new AbortController().signal)
        .then(result => results.push(result));
      await fleet.clock.advance(100);
    }
    requestsPerRound.push(requests() - before);
  }
  t.is(results.length, 30);
  t.deepEqual([...new Set(results)], ['granted']);
  // One grant request and one report for each daemon except the owner.
  t.true(requestsPerRound[2] <= 2 * 9, `${requestsPerRound} requests`);
  fleet.stopAll();
});

// Guards against two owners that grant the same tokens: spending in any window
// must stay within rate times window plus burst.
for (const seed of [71_001, 72_002]) {
  test(`a limit holds across failures of its owner (seed ${seed})`, async t => {
    const fleet = new fakeFleet.FakeFleet(seed, {cell: true});
    const limits = {ratePerSecond: 100, burst: 50};
    fleet.publishDocument(1, limits);
    fleet.publishHosts([0, 1, 2].map(fakeFleet.hostEntry));
    for (const index of [0, 1, 2]) fleet.start(index);
    await fleet.clock.advance(10_000);
    const random = fleet.createRandom();
    const grantedAtMs: number[] = [];
    let refused = 0;
    let lost = 0;
    const startMs = fleet.clock.monotonicMs();
    for (let step = 0; step < 2_000; step++) {
      if (step % 1_000 === 300) {
        lost = runtime.randomInteger(random, 3);
        fleet.stop(lost);
      }
      if (step % 1_000 === 700) {
        fleet.start(lost, ['host-0', 'host-1', 'host-2']);
      }
      const entries = [...fleet.daemons.values()];
      const entry = entries[runtime.randomInteger(random, entries.length)];
      for (let call = 0; call < 4; call++) {
        void entry.limits
          .spend(
            'sahab',
            fleet.clock.monotonicMs(),
            new AbortController().signal,
          )
          .then(result => {
            if (result === 'granted') {
              grantedAtMs.push(fleet.clock.monotonicMs());
            } else {
              refused++;
            }
          });
      }
      await fleet.clock.advance(10);
    }
    const elapsedSeconds = (fleet.clock.monotonicMs() - startMs) / 1_000;
    t.true(refused > 0);
    t.true(grantedAtMs.length > 100 * elapsedSeconds * 0.3);
    const overrun = maximumOverrun(grantedAtMs, limits);
    t.true(overrun <= 0, `${overrun} tokens beyond the limit`);
    fleet.stopAll();
  });
}

/** Maximum excess over rate times window plus burst, over all windows. */
function maximumOverrun(
  timesMs: readonly number[],
  limits: {readonly ratePerSecond: number; readonly burst: number},
): number {
  let maximum = -Infinity;
  for (let first = 0; first < timesMs.length; first++) {
    for (let last = first; last < timesMs.length; last++) {
      const seconds = (timesMs[last] - timesMs[first]) / 1_000;
      const allowed = limits.ratePerSecond * seconds + limits.burst;
      maximum = Math.max(maximum, last - first + 1 - allowed);
    }
  }
  return maximum;
}
