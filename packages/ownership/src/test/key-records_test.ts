import test from 'ava';
import type * as protocol from '@camphorwharf/protocol';
import * as constants from '../constants.js';
import * as keyRecords from '../key-records.js';

const WALL_MS = 1_700_000_000_000;
const NOW_MS = 60_000;

function keyClaim(
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

function keySettle(
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

function claimVerdict(
  table: keyRecords.KeyRecords,
  claim: protocol.KeyClaim,
  nowMs = NOW_MS,
  ownerSinceMs = 0,
  wallMs = WALL_MS + nowMs - NOW_MS,
): string {
  return table.claim(claim, ownerSinceMs, nowMs, wallMs).verdict.kind;
}

const FRESH_KEY = `${WALL_MS}-a`;

for (const [name, key, ownerSinceMs, expected] of [
  ['a fresh key', FRESH_KEY, 0, 'claimed'],
  ['a key without a time', 'abc', 0, 'invalid'],
  ['a key without a random part', `${WALL_MS}-`, 0, 'invalid'],
  ['a key 1 s ahead', `${WALL_MS + 1_000}-a`, 0, 'claimed'],
  ['a key more than 1 s ahead', `${WALL_MS + 1_001}-a`, 0, 'invalid'],
  [
    'a key older than the retention',
    `${WALL_MS - 600_001}-a`,
    -1e9,
    'olderThanOwner',
  ],
  ['a key at the retention', `${WALL_MS - 600_000}-a`, -1e9, 'claimed'],
  [
    'a key created before the ownership',
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
    t.is(claimVerdict(table, keyClaim(key), NOW_MS, ownerSinceMs), expected);
  });
}

test('a claim is idempotent per request, and other requests are refused', t => {
  const table = new keyRecords.KeyRecords();
  t.is(claimVerdict(table, keyClaim(FRESH_KEY)), 'claimed');
  t.is(claimVerdict(table, keyClaim(FRESH_KEY)), 'claimed');
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2')), 'inProgress');
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2', 'd2')), 'payloadDiffers');
});

test('settling keeps, completes or releases the claim', t => {
  const table = new keyRecords.KeyRecords();
  claimVerdict(table, keyClaim(FRESH_KEY));
  table.settle(keySettle(FRESH_KEY, {kind: 'unknown'}), NOW_MS);
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2')), 'inProgress');
  table.settle(keySettle(FRESH_KEY, {kind: 'notRun'}, 'r2'), NOW_MS);
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2')), 'inProgress');
  table.settle(keySettle(FRESH_KEY, {kind: 'notRun'}), NOW_MS);
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2')), 'claimed');
  const completed = {kind: 'completed', status: 201} as const;
  table.settle(keySettle(FRESH_KEY, completed, 'r2'), NOW_MS);
  table.settle(keySettle(FRESH_KEY, {kind: 'notRun'}, 'r2'), NOW_MS);
  t.deepEqual(
    table.claim(keyClaim(FRESH_KEY, 'r3'), 0, NOW_MS, WALL_MS).verdict,
    {
      kind: 'completed',
      status: 201,
    },
  );
});

test('a full table rejects new keys and keeps its records', t => {
  const table = new keyRecords.KeyRecords({limit: 1});
  t.is(claimVerdict(table, keyClaim(FRESH_KEY)), 'claimed');
  t.is(claimVerdict(table, keyClaim(`${WALL_MS}-b`)), 'tableFull');
  t.is(claimVerdict(table, keyClaim(FRESH_KEY, 'r2')), 'inProgress');
});

test('a record is kept as long as its key is accepted', t => {
  const key = `${WALL_MS + constants.KEY_FUTURE_LIMIT_MS}-a`;
  const table = new keyRecords.KeyRecords();
  claimVerdict(table, keyClaim(key));
  for (let seconds = 1; seconds < 700; seconds++) {
    const nowMs = NOW_MS + seconds * 1_000;
    t.not(claimVerdict(table, keyClaim(key, 'r2'), nowMs), 'claimed');
  }
  t.is(table.size, 0);
});

test('a wall clock that steps back does not make an old key acceptable', t => {
  const table = new keyRecords.KeyRecords();
  claimVerdict(table, keyClaim(FRESH_KEY));
  const laterMs = NOW_MS + 700_000;
  claimVerdict(table, keyClaim(`${WALL_MS + 700_000}-b`), laterMs);
  t.is(
    claimVerdict(table, keyClaim(FRESH_KEY, 'r2'), laterMs, 0, WALL_MS),
    'olderThanOwner',
  );
});

test('a hand-over merges the records of both owners', t => {
  const formerOwner = new keyRecords.KeyRecords();
  claimVerdict(formerOwner, keyClaim(FRESH_KEY));
  claimVerdict(formerOwner, keyClaim(`${WALL_MS}-b`));
  const completed = {kind: 'completed', status: 200} as const;
  formerOwner.settle(keySettle(FRESH_KEY, completed), NOW_MS);
  const message = {
    kind: 'keyHandOver',
    cell: 'c',
    ...formerOwner.drainForHandOver(NOW_MS),
  } as const;
  t.is(formerOwner.size, 0);
  const newOwner = new keyRecords.KeyRecords();
  claimVerdict(newOwner, keyClaim(FRESH_KEY));
  newOwner.receiveHandOver(message, NOW_MS, WALL_MS);
  newOwner.receiveHandOver(message, NOW_MS, WALL_MS);
  t.is(claimVerdict(newOwner, keyClaim(FRESH_KEY, 'r2')), 'completed');
  t.is(claimVerdict(newOwner, keyClaim(`${WALL_MS}-b`, 'r2')), 'inProgress');
  t.is(newOwner.size, 2);
  const unknown = keyClaim(`${WALL_MS}-c`, 'r2');
  t.is(claimVerdict(newOwner, unknown, NOW_MS, NOW_MS), 'olderThanOwner');
});
