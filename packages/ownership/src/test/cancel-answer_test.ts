import * as protocol from '@camphorwharf/protocol';
import test from 'ava';
import * as callRegister from '../call-register.js';
import * as cancelAnswer from '../cancel-answer.js';
import * as constants from '../constants.js';

interface Case {
  readonly incarnation?: string;
  readonly sentAfterMs?: number;
  readonly nowMs: number;
  readonly verdict: protocol.CancelAnswer['verdict'];
}

/**
 * Guards against a promise that an older peer gets on the word of its own
 * clock, and against a verdict at which an older peer closes the connection.
 */
const CASES: Readonly<Record<string, Case>> = {
  'a query with a reading of the clock': {
    sentAfterMs: 100,
    nowMs: 200,
    verdict: 'neverStarts',
  },
  'a query with an old reading of the clock': {
    sentAfterMs: 100,
    nowMs: 60_000,
    verdict: 'unknown',
  },
  'a query of an older peer': {nowMs: 200, verdict: 'started'},
  'a query for another process': {
    incarnation: 'b',
    sentAfterMs: 100,
    nowMs: 200,
    verdict: 'otherIncarnation',
  },
};
for (const [name, row] of Object.entries(CASES)) {
  test(`answer to ${name}`, t => {
    const {incarnation = 'a', sentAfterMs, nowMs} = row;
    const answer = cancelAnswer.answerCancelQuery(
      {
        kind: 'cancelIfNotStarted',
        requestId: 'r',
        attempt: 1,
        incarnation,
        ...(sentAfterMs === undefined ? {} : {sentAfterMs}),
      },
      new callRegister.CallRegister(),
      'a',
      nowMs,
    );
    t.deepEqual(answer, {kind: 'cancelAnswer', verdict: row.verdict});
  });
}

test('entries outlive the frames of their calls', t => {
  // Guards against a call frame that is accepted after its tombstone expired.
  t.true(
    constants.CALL_RETENTION_MS >
      protocol.PERMISSION_HEARTBEAT_AGE_MS + protocol.PERMISSION_LIFETIME_MS,
  );
});
