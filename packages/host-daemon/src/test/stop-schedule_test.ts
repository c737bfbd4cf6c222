import test from 'ava';
import * as stopSchedule from '../stop-schedule.js';

/** Time from the stop signal until the process is killed. */
const LIMIT_MS = 6_000;
const STARTED_MS = 1_000;

/** Timeouts of requests. */
const SHORT_TIMEOUT_MS = 600;
const LONG_TIMEOUT_MS = 3_000;

interface Expectation {
  readonly request: boolean;
  /** The same for a request of a backend server, by its timeout. */
  readonly nested: boolean;
  readonly longNested: boolean;
  /** Upper bound of the time that a request accepted now may take. */
  readonly withinMs: number;
}

const BEFORE: Expectation = {
  request: true,
  nested: true,
  longNested: true,
  withinMs: Infinity,
};
const LATE: Expectation = {...BEFORE, request: false};
const TOO_LATE_FOR_LONG: Expectation = {...LATE, longNested: false};
const AT_THE_END: Expectation = {...TOO_LATE_FOR_LONG, nested: false};
/**
 * Guards against requests that are accepted during a stop and cut off at its
 * end, and against running requests that fail because their nested requests are
 * refused although they end before the stop in any case.
 */
const CASES: ReadonlyArray<readonly [string, number | null, Expectation]> = [
  ['without a stop', null, BEFORE],
  ['at the signal', 0, {...BEFORE, withinMs: 6_000}],
  ['at 2.5 s', 2_500, {...BEFORE, withinMs: 3_500}],
  ['at 2.7 s', 2_700, {...LATE, withinMs: 3_300}],
  ['at 2.9 s', 2_900, {...LATE, withinMs: 3_100}],
  ['at 3.1 s', 3_100, {...TOO_LATE_FOR_LONG, withinMs: 2_900}],
  ['at 4.5 s', 4_500, {...TOO_LATE_FOR_LONG, withinMs: 1_500}],
  ['at 4.6 s', 4_600, {...AT_THE_END, withinMs: 1_400}],
  ['at 5.2 s', 5_200, {...AT_THE_END, withinMs: 800}],
  ['after the end', 7_000, {...AT_THE_END, withinMs: 0}],
];
for (const [name, elapsedMs, expected] of CASES) {
  test(`what a stopping daemon begins: ${name}`, t => {
    const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
    if (elapsedMs !== null) schedule.begin(STARTED_MS);
    const nowMs = STARTED_MS + (elapsedMs ?? 0);
    const mayBegin = (nested: boolean, timeoutMs: number) =>
      schedule.mayBegin({nested, deadlineMs: nowMs + timeoutMs}, nowMs);
    t.is(mayBegin(false, SHORT_TIMEOUT_MS), expected.request);
    t.is(mayBegin(false, LONG_TIMEOUT_MS), expected.request);
    t.is(mayBegin(true, SHORT_TIMEOUT_MS), expected.nested);
    t.is(mayBegin(true, LONG_TIMEOUT_MS), expected.longNested);
    t.true(schedule.remainingMs(nowMs) <= expected.withinMs);
    t.is(schedule.stopping, elapsedMs !== null);
  });
}

test('a second stop signal does not extend the stop', t => {
  // Guards against a process that is killed while it serves requests.
  const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
  schedule.begin(STARTED_MS);
  schedule.begin(STARTED_MS + 2_000);
  const nowMs = STARTED_MS + 3_000;
  t.false(
    schedule.mayBegin(
      {nested: false, deadlineMs: nowMs + SHORT_TIMEOUT_MS},
      nowMs,
    ),
  );
});

/**
 * Guards against requests that are cut off before the last sixth of a stop, or
 * accepted when hardly any time is left, where the limit is another one.
 */
const LIMITS_MS = [2_000, 3_000, 4_000, 5_000, 6_000, 10_000];
for (const limitMs of LIMITS_MS) {
  test(`a stop of ${limitMs} ms uses its time`, t => {
    const schedule = new stopSchedule.StopSchedule(limitMs);
    schedule.begin(STARTED_MS);
    const lastSixthMs = STARTED_MS + (limitMs * 5) / 6;
    t.true(schedule.remainingMs(STARTED_MS) >= lastSixthMs - STARTED_MS);
    t.true(schedule.endMs < STARTED_MS + limitMs);
    t.true(schedule.refuseFromMs <= STARTED_MS + limitMs / 2);
  });
}
