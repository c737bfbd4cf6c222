import test from 'ava';
import * as callRegister from '../call-register.js';

type Step =
  | readonly [
      operation: 'start',
      requestId: string,
      attempt: number,
      keepUntilMs: number,
      nowMs: number,
      expected: ReturnType<callRegister.CallRegister['start']>,
      /** The present time if absent. */
      acceptedMs?: number,
    ]
  | readonly [
      operation: 'cancel',
      requestId: string,
      attempt: number,
      /** Null in a query of an older peer. */
      sentAfterMs: number | null,
      nowMs: number,
      expected: ReturnType<callRegister.CallRegister['cancelIfNotStarted']>,
    ];

/**
 * Guards against `neverStarts` for a call that has started or may still start,
 * after which it runs twice: its entry has expired, a tombstone could not be
 * recorded, or a tombstone has expired.
 */
const CASES: ReadonlyArray<readonly [name: string, steps: readonly Step[]]> = [
  [
    'a call starts once',
    [
      ['start', 'r', 0, 900, 0, 'start'],
      ['start', 'r', 0, 900, 1, 'duplicate'],
      ['start', 'r', 1, 900, 1, 'start'],
      ['cancel', 'r', 0, 0, 2, 'started'],
    ],
  ],
  [
    'a call with a tombstone does not start',
    [
      ['cancel', 'r', 0, 0, 0, 'neverStarts'],
      ['cancel', 'r', 0, 0, 0, 'neverStarts'],
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
      ['cancel', 'r', 0, 0, 0, 'neverStarts'],
      ['start', 'r', 0, 9_000, 3_900, 'tombstoned'],
    ],
  ],
  [
    'a tombstone outlives each frame that can be accepted',
    [
      ['cancel', 'r', 0, 0, 0, 'neverStarts'],
      ['start', 'r', 0, 90_000, 8_000, 'tombstoned'],
    ],
  ],
  [
    'a call does not start once its tombstone may have expired',
    [
      ['cancel', 'r', 0, 0, 0, 'neverStarts'],
      ['start', 'r', 0, 90_000, 14_900, 'tombstoned', 8_000],
      ['start', 'r', 0, 90_000, 17_000, 'tombstoned', 8_000],
    ],
  ],
  [
    'a call starts that was stopped for a short time',
    [['start', 'r', 0, 90_000, 14_900, 'start', 8_000]],
  ],
  [
    'a full table rejects starts and records no tombstones',
    [
      ['start', 'a', 0, 900, 0, 'start'],
      ['cancel', 'b', 0, 0, 0, 'neverStarts'],
      ['start', 'c', 0, 900, 0, 'tableFull'],
      ['cancel', 'd', 0, 0, 0, 'unknown'],
      ['start', 'c', 0, 99_000, 16_000, 'start'],
    ],
  ],
  [
    'a table that was full and has emptied proves nothing of older calls',
    [
      ['start', 'a', 0, 900, 500, 'start'],
      ['start', 'b', 0, 900, 500, 'start'],
      ['start', 'c', 0, 900, 500, 'tableFull'],
      ['cancel', 'a', 0, 400, 17_000, 'unknown'],
      ['cancel', 'c', 0, 400, 17_000, 'unknown'],
      ['cancel', 'd', 0, 16_900, 17_000, 'neverStarts'],
    ],
  ],
  [
    'an entry is held for as long as a query can be answered',
    [
      ['start', 'r', 0, 900, 1, 'start'],
      ['cancel', 'r', 0, 0, 4_999, 'started'],
      ['cancel', 'r', 0, 0, 14_999, 'started'],
    ],
  ],
  [
    'an entry that may have expired proves nothing',
    [
      ['start', 'r', 0, 900, 1, 'start'],
      ['cancel', 'r', 0, 0, 17_000, 'unknown'],
      ['cancel', 'never', 0, 0, 15_000, 'unknown'],
    ],
  ],
  [
    'a call without an entry never starts while its entry would be held',
    [['cancel', 'r', 0, 0, 14_999, 'neverStarts']],
  ],
  [
    'a reading after the present time proves nothing',
    [['cancel', 'r', 0, 501, 500, 'unknown']],
  ],
  [
    'a query of an older peer proves nothing',
    [
      ['start', 'r', 0, 900, 0, 'start'],
      ['cancel', 'r', 0, null, 1, 'started'],
      ['cancel', 's', 0, null, 1, 'unknown'],
    ],
  ],
  [
    'a query that proves nothing does not stop the call',
    [
      ['cancel', 'r', 0, null, 0, 'unknown'],
      ['start', 'r', 0, 900, 1, 'start'],
    ],
  ],
];

for (const [name, steps] of CASES) {
  test(name, t => {
    const register = new callRegister.CallRegister({limit: 2});
    for (const step of steps) {
      switch (step[0]) {
        case 'start': {
          const [, requestId, attempt, keepMs, nowMs, expected, accepted] =
            step;
          t.is(
            register.start(
              requestId,
              attempt,
              accepted ?? nowMs,
              keepMs,
              nowMs,
            ),
            expected,
          );
          break;
        }
        case 'cancel': {
          const [, requestId, attempt, sentAfterMs, nowMs, expected] = step;
          const call = {
            requestId,
            attempt,
            ...(sentAfterMs === null ? {} : {sentAfterMs}),
          };
          t.is(register.cancelIfNotStarted(call, nowMs), expected);
          break;
        }
      }
    }
    t.true(register.size <= 2);
  });
}
