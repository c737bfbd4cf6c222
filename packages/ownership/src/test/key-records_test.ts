import test from 'ava';
import type * as protocol from '@camphorwharf/protocol';
import * as constants from '../constants.js';
import * as keyRecords from '../key-records.js';

const WALL_MS = 1_700_000_000_000;
const NOW_MS = 60_000;

function claimOf(
  idempotencyKey: string,
  requestId = 'r1',
  payloadDigest = 'd1',
): protocol.KeyClaim {
  return {
    kind: 'keyClaim',
    organisation: 'o',
    idempotencyKey,
    payloadDigest,
    requestId,
  };
}

function settlementOf(
  idempotencyKey: string,
  result: protocol.KeySettle['result'],
  requestId = 'r1',
): protocol.KeySettle {
  return {
    kind: 'keySettle',
    organisation: 'o',
    idempotencyKey,
    requestId,
    result,
  };
}

function verdict(
  table: keyRecords.KeyRecords,
  claim: protocol.KeyClaim,
  nowMs = NOW_MS,
  ownerSinceMs = 0,
  wallMs = WALL_MS + nowMs - NOW_MS,
): string {
  return table.claim(claim, ownerSinceMs, nowMs, wallMs).verdict.kind;
}

const FRESH = `${WALL_MS}-a`;

for (const [name, key, ownerSinceMs, expected] of [
  ['a fresh key', FRESH, 0, 'claimed'],
  ['a key without a time', 'abc', 0, 'invalid'],
  ['a key without a random part', `${WALL_MS}-`, 0, 'invalid'],
  ['a key 1 s ahead', `${WALL_MS + 1_000}-a`, 0, 'claimed'],
  ['a key more than 1 s ahead', `${WALL_MS + 1_001}-a`, 0, 'invalid'],
  [
    'a key before the retention',
    `${WALL_MS - 600_001}-a`,
    -1e9,
    'olderThanOwner',
  ],
  ['a key at the retention', `${WALL_MS - 600_000}-a`, -1e9, 'claimed'],
  [
    'a key from before the owner',
    `${WALL_MS - 2_000}-a`,
    NOW_MS - 500,
    'olderThanOwner',
  ],
  [
    'a key the former owner may have seen',
    `${WALL_MS}-a`,
    NOW_MS - 999,
    'olderThanOwner',
  ],
  ['a key the former owner refused', `${WALL_MS}-a`, NOW_MS - 1_000, 'claimed'],
] as const) {
  test(`${name} is answered ${expected}`, t => {
    const table = new keyRecords.KeyRecords();
    t.is(verdict(table, claimOf(key), NOW_MS, ownerSinceMs), expected);
  });
}

test('a claim is idempotent per request, and other requests are refused', t => {
  const table = new keyRecords.KeyRecords();
  t.is(verdict(table, claimOf(FRESH)), 'claimed');
  t.is(verdict(table, claimOf(FRESH)), 'claimed');
  t.is(verdict(table, claimOf(FRESH, 'r2')), 'inProgress');
  t.is(verdict(table, claimOf(FRESH, 'r2', 'd2')), 'payloadDiffers');
});

test('settling keeps, completes or releases the claim', t => {
  const table = new keyRecords.KeyRecords();
  verdict(table, claimOf(FRESH));
  table.settle(settlementOf(FRESH, {kind: 'unknown'}), NOW_MS);
  t.is(verdict(table, claimOf(FRESH, 'r2')), 'inProgress');
  table.settle(settlementOf(FRESH, {kind: 'notRun'}, 'r2'), NOW_MS);
  t.is(verdict(table, claimOf(FRESH, 'r2')), 'inProgress');
  table.settle(settlementOf(FRESH, {kind: 'notRun'}), NOW_MS);
  t.is(verdict(table, claimOf(FRESH, 'r2')), 'claimed');
  const completed = {kind: 'completed', status: 201} as const;
  table.settle(settlementOf(FRESH, completed, 'r2'), NOW_MS);
  table.settle(settlementOf(FRESH, {kind: 'notRun'}, 'r2'), NOW_MS);
  t.deepEqual(table.claim(claimOf(FRESH, 'r3'), 0, NOW_MS, WALL_MS).verdict, {
    kind: 'completed',
    status: 201,
  });
});

test('a full table refuses new keys and keeps the records it has', t => {
  const table = new keyRecords.KeyRecords({limit: 1});
  t.is(verdict(table, claimOf(FRESH)), 'claimed');
  t.is(verdict(table, claimOf(`${WALL_MS}-b`)), 'tableFull');
  t.is(verdict(table, claimOf(FRESH, 'r2')), 'inProgress');
});

test('a record is kept as long as its key is accepted', t => {
  const key = `${WALL_MS + constants.KEY_FUTURE_LIMIT_MS}-a`;
  const table = new keyRecords.KeyRecords();
  verdict(table, claimOf(key));
  for (let seconds = 1; seconds < 700; seconds++) {
    const nowMs = NOW_MS + seconds * 1_000;
    t.not(verdict(table, claimOf(key, 'r2'), nowMs), 'claimed');
  }
  t.is(table.size, 0);
});

test('a wall clock that steps back does not make an old key new', t => {
  const table = new keyRecords.KeyRecords();
  verdict(table, claimOf(FRESH));
  const laterMs = NOW_MS + 700_000;
  verdict(table, claimOf(`${WALL_MS + 700_000}-b`), laterMs);
  t.is(
    verdict(table, claimOf(FRESH, 'r2'), laterMs, 0, WALL_MS),
    'olderThanOwner',
  );
});

test('a hand-over merges what both sides know', t => {
  const from = new keyRecords.KeyRecords();
  verdict(from, claimOf(FRESH));
  verdict(from, claimOf(`${WALL_MS}-b`));
  const completed = {kind: 'completed', status: 200} as const;
  from.settle(settlementOf(FRESH, completed), NOW_MS);
  const message = {
    kind: 'keyHandOver',
    cell: 'c',
    ...from.takeForHandOver(NOW_MS),
  } as const;
  t.is(from.size, 0);
  const to = new keyRecords.KeyRecords();
  verdict(to, claimOf(FRESH));
  to.receiveHandOver(message, NOW_MS, WALL_MS);
  to.receiveHandOver(message, NOW_MS, WALL_MS);
  t.is(verdict(to, claimOf(FRESH, 'r2')), 'completed');
  t.is(verdict(to, claimOf(`${WALL_MS}-b`, 'r2')), 'inProgress');
  t.is(to.size, 2);
  const unknown = claimOf(`${WALL_MS}-c`, 'r2');
  t.is(verdict(to, unknown, NOW_MS, NOW_MS), 'olderThanOwner');
});
