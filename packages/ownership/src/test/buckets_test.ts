import test from 'ava';
import * as fastCheck from 'fast-check';
import type * as protocol from '@camphorwharf/protocol';
import * as buckets from '../buckets.js';
import * as constants from '../constants.js';
import type * as interfaces from '../interfaces.js';
import * as bucketSimulation from './bucket-simulation.js';

const EPSILON = 1e-6;
const LIMITS = {ratePerSecond: 10, burst: 10};

function request(
  sequence: number,
  tokens: number,
  spent = 0,
  hostId = 'h1',
): protocol.GrantRequest {
  return {
    kind: 'grant',
    organisation: 'o',
    holder: {hostId, incarnation: 'i'},
    tokens,
    spent,
    sequence,
  };
}

/** Returns buckets that are full at `FULL_MS`. */
function fullBuckets(): buckets.Buckets {
  const table = new buckets.Buckets();
  table.grant(request(0, 0, 0, 'other'), LIMITS, 0, 0);
  return table;
}

const FULL_MS = 10_000;

test('a new owner starts empty and waits for former grants to expire', t => {
  const table = new buckets.Buckets();
  const first = table.grant(request(1, 5), LIMITS, 1_000, 1_000);
  t.is(first.tokens, 0);
  t.true(first.retryAfterMs >= constants.NEW_OWNER_FILL_DELAY_MS);
  const filledMs = 1_000 + constants.NEW_OWNER_FILL_DELAY_MS + 300;
  t.is(table.grant(request(2, 5), LIMITS, 1_000, filledMs).tokens, 3);
});

test('a repeated or reordered request gives no second grant', t => {
  const table = fullBuckets();
  t.is(table.grant(request(3, 4), LIMITS, 0, FULL_MS).tokens, 4);
  t.is(table.grant(request(3, 4), LIMITS, 0, FULL_MS).tokens, 0);
  t.is(table.grant(request(2, 4), LIMITS, 0, FULL_MS).tokens, 0);
});

test('the bucket refills up to the burst less the outstanding tokens', t => {
  const table = fullBuckets();
  t.is(table.grant(request(1, 10), LIMITS, 0, FULL_MS).tokens, 10);
  t.is(table.grant(request(2, 10), LIMITS, 0, FULL_MS + 1_000).tokens, 0);
  t.is(table.grant(request(3, 0, 4), LIMITS, 0, FULL_MS + 1_000).tokens, 0);
  t.is(table.grant(request(4, 10), LIMITS, 0, FULL_MS + 1_900).tokens, 4);
});

test('a grant expires after its lifetime and margin', t => {
  const table = fullBuckets();
  const endMs =
    FULL_MS + constants.GRANT_LIFETIME_MS + constants.GRANT_EXPIRY_MARGIN_MS;
  table.grant(request(1, 10), LIMITS, 0, FULL_MS);
  t.is(table.grant(request(2, 10), LIMITS, 0, endMs + 500).tokens, 5);
});

test('a late report is not deducted from a newer grant', t => {
  const table = fullBuckets();
  table.grant(request(1, 10), LIMITS, 0, FULL_MS);
  const endMs = FULL_MS + 2_500;
  t.is(table.grant(request(2, 10), LIMITS, 0, endMs).tokens, 3);
  // The report covers all of the first grant and none of the second.
  table.grant(request(3, 0, 10), LIMITS, 0, endMs);
  t.is(table.grant(request(4, 10), LIMITS, 0, endMs + 1_500).tokens, 7);
});

test('part of the bucket is reserved for another recent requester', t => {
  const table = fullBuckets();
  table.grant(request(1, 0, 0, 'h2'), LIMITS, 0, FULL_MS);
  t.is(table.grant(request(1, 10), LIMITS, 0, FULL_MS).tokens, 5);
  t.true(table.grant(request(2, 10, 0, 'h2'), LIMITS, 0, FULL_MS).tokens > 0);
});

test('lowered limits apply at once', t => {
  const table = fullBuckets();
  const lower = {ratePerSecond: 1, burst: 2};
  t.is(table.grant(request(1, 10), lower, 0, FULL_MS).tokens, 2);
  t.is(table.grant(request(2, 0, 2), lower, 0, FULL_MS + 100).tokens, 0);
  t.is(table.grant(request(3, 10), lower, 0, FULL_MS + 1_200).tokens, 1);
});

test('a handed-over level is used once, and not by a later owner', t => {
  const startMs = 5_000;
  const direct = new buckets.Buckets();
  direct.receiveHandOver('o', 6, startMs - 3_000);
  direct.receiveHandOver('o', 6, startMs - 2_900);
  t.is(direct.grant(request(1, 10), LIMITS, startMs, startMs).tokens, 6);
  const laterMs = startMs + 500;
  t.is(direct.grant(request(2, 10), LIMITS, laterMs, laterMs).tokens, 0);
  const late = new buckets.Buckets();
  late.receiveHandOver('o', 6, 0);
  t.is(late.grant(request(1, 10), LIMITS, startMs, startMs).tokens, 0);
});

test('returned tokens are added once, also if the return is repeated', t => {
  const table = fullBuckets();
  table.grant(request(1, 10), LIMITS, 0, FULL_MS);
  const back: protocol.GrantReturn = {
    kind: 'grantReturn',
    organisation: 'o',
    holder: {hostId: 'h1', incarnation: 'i'},
    spent: 3,
    unspent: 7,
    sequence: 2,
  };
  table.returnTokens(back, FULL_MS);
  table.returnTokens(back, FULL_MS);
  t.is(table.grant(request(1, 10, 0, 'h3'), LIMITS, 0, FULL_MS).tokens, 4);
  t.is(table.grant(request(2, 10, 0, 'h3'), LIMITS, 0, FULL_MS).tokens, 2);
});

test('the number of buckets is bounded', t => {
  const table = new buckets.Buckets({limit: 1});
  table.grant(request(1, 1), LIMITS, 0, 0);
  const other = {...request(1, 1), organisation: 'p'};
  t.is(table.grant(other, LIMITS, 0, FULL_MS).tokens, 0);
  t.is(table.size, 1);
});

test('no window exceeds rate and burst under message and owner faults', t => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.record({
        seed: fastCheck.integer({min: 1, max: 1_000_000}),
        limits: fastCheck.record({
          ratePerSecond: fastCheck.constantFrom(1, 7, 50, 300),
          burst: fastCheck.constantFrom(1, 5, 40, 200),
        }),
        holders: fastCheck.integer({min: 1, max: 4}),
        demandPerSecond: fastCheck.constantFrom(0, 0, 1, 20, 150),
        lossRate: fastCheck.constantFrom(0, 0.1, 0.4),
        duplicateRate: fastCheck.constantFrom(0, 0.3),
        maximumDelayMs: fastCheck.constantFrom(1, 60, 700),
        replaceEveryMs: fastCheck.constantFrom(0, 4_000, 9_000),
      }),
      generated => {
        const simulation = new bucketSimulation.BucketSimulation({
          ...generated,
          durationMs: 20_000,
        }).run();
        return simulation.maximumExcess() <= EPSILON;
      },
    ),
    {seed: 45, numRuns: 120},
  );
  t.pass();
});

/** Grants tokens again for a repeated request. */
class DuplicateGrantBuckets extends buckets.Buckets {
  private count = 0;

  override grant(
    repeated: protocol.GrantRequest,
    limits: interfaces.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer {
    const sequence = ++this.count;
    return super.grant({...repeated, sequence}, limits, ownerSinceMs, nowMs);
  }
}

/** Returns the maximum excess of 40 runs with worst-case demand and faults. */
function worstCaseExcess(createBuckets: () => interfaces.BucketTable): number {
  const excesses = Array.from({length: 40}, (_, index) =>
    new bucketSimulation.BucketSimulation({
      seed: index + 1,
      limits: {ratePerSecond: 50, burst: 40},
      holders: 3,
      durationMs: 40_000,
      demandPerSecond: 0,
      lossRate: 0.2,
      duplicateRate: 0.3,
      maximumDelayMs: 300,
      // Frequent replacements keep buckets empty, rare ones let them refill.
      replaceEveryMs: index % 2 === 0 ? 4_000 : 13_000,
      createBuckets,
    })
      .run()
      .maximumExcess(),
  );
  return Math.max(...excesses);
}

test('the limit is reached and not exceeded under worst-case demand', t => {
  const excess = worstCaseExcess(() => new buckets.Buckets());
  t.true(excess <= EPSILON && excess >= -1, `excess ${excess}`);
});

for (const [name, createBuckets] of [
  ['that refill at once', () => new buckets.Buckets({fillDelayMs: 0})],
  ['that repeat a grant', () => new DuplicateGrantBuckets()],
  [
    'that expire grants early',
    () => new buckets.Buckets({grantLifetimeMs: 1_000}),
  ],
] as const) {
  test(`the window check detects buckets ${name}`, t => {
    t.true(worstCaseExcess(createBuckets) >= 1);
  });
}

for (const limits of [
  {ratePerSecond: 1, burst: 1},
  {ratePerSecond: 5, burst: 2},
  {ratePerSecond: 100, burst: 100},
  {ratePerSecond: 1_000, burst: 100},
]) {
  for (const holders of [1, 3]) {
    const limitName = `${limits.ratePerSecond}/s, burst ${limits.burst}`;
    test(`${holders} holders use the full limit of ${limitName}`, t => {
      const durationMs = 30_000;
      const simulation = new bucketSimulation.BucketSimulation({
        seed: 7,
        limits,
        holders,
        durationMs,
        demandPerSecond: (limits.ratePerSecond * 1.5) / holders,
        lossRate: 0,
        duplicateRate: 0,
        maximumDelayMs: 1,
        replaceEveryMs: 0,
      }).run();
      t.true(simulation.maximumExcess() <= EPSILON);
      const usedShare =
        simulation.spentAtMs.length / simulation.idealCallCount();
      t.true(usedShare >= 0.9, `used ${usedShare}`);
    });
  }
}
