import test from 'ava';
import * as callRegister from '../call-register.js';

type Step = readonly [
  operation: 'start' | 'cancel',
  requestId: string,
  attempt: number,
  keepUntilMs: number,
  nowMs: number,
  expected: string,
];

const CASES: ReadonlyArray<readonly [name: string, steps: readonly Step[]]> = [
  [
    'a call starts once',
    [
      ['start', 'r', 0, 900, 0, 'start'],
      ['start', 'r', 0, 900, 1, 'duplicate'],
      ['start', 'r', 1, 900, 1, 'start'],
      ['cancel', 'r', 0, 900, 2, 'started'],
    ],
  ],
  [
    'a call with a tombstone does not start',
    [
      ['cancel', 'r', 0, 900, 0, 'neverStarts'],
      ['cancel', 'r', 0, 900, 0, 'neverStarts'],
      ['start', 'r', 0, 900, 1, 'tombstoned'],
    ],
  ],
  [
    'a call past its deadline does not start',
    [['start', 'r', 0, 900, 900, 'tombstoned']],
  ],
  [
    'a tombstone outlives a short retention time',
    [
      ['cancel', 'r', 0, 1, 0, 'neverStarts'],
      ['start', 'r', 0, 9_000, 3_900, 'tombstoned'],
    ],
  ],
  [
    'a full table rejects starts and records no tombstones',
    [
      ['start', 'a', 0, 900, 0, 'start'],
      ['cancel', 'b', 0, 900, 0, 'neverStarts'],
      ['start', 'c', 0, 900, 0, 'tableFull'],
      ['cancel', 'd', 0, 900, 0, 'started'],
      ['start', 'c', 0, 99_000, 9_000, 'start'],
    ],
  ],
];

for (const [name, steps] of CASES) {
  test(name, t => {
    const register = new callRegister.CallRegister({limit: 2});
    for (const [operation, requestId, attempt, keep, now, expected] of steps) {
      const result =
        operation === 'start'
          ? register.start(requestId, attempt, keep, now)
          : register.cancelIfNotStarted(requestId, attempt, keep, now);
      t.is(result, expected as typeof result);
    }
    t.true(register.size <= 2);
  });
}
