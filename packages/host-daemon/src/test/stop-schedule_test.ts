import test from 'ava';
import * as stopSchedule from '../stop-schedule.js';

/** Time from the stop signal until the process is killed. */
const LIMIT_MS = 6_000;
const STARTED_MS = 1_000;

interface Expectation {
  readonly request: boolean;
  readonly nested: boolean;
  /** Upper bound of the time that a request accepted now may take. */
  readonly withinMs: number;
}

/**
 * Guards against requests that are accepted during a stop and cut off at its
 * end, and against running requests that fail because their nested requests are
 * refused early.
 */
const CASES: ReadonlyArray<readonly [string, number | null, Expectation]> = [
  ['without a stop', null, {request: true, nested: true, withinMs: Infinity}],
  ['at the signal', 0, {request: true, nested: true, withinMs: 6_000}],
  ['at 2.5 s', 2_500, {request: true, nested: true, withinMs: 3_500}],
  ['at 2.7 s', 2_700, {request: false, nested: true, withinMs: 3_300}],
  ['at 4.5 s', 4_500, {request: false, nested: true, withinMs: 1_500}],
  ['at 5.2 s', 5_200, {request: false, nested: false, withinMs: 800}],
  ['after the end', 7_000, {request: false, nested: false, withinMs: 0}],
];
for (const [name, elapsedMs, expected] of CASES) {
  test(`what a stopping daemon begins: ${name}`, t => {
    const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
    if (elapsedMs !== null) schedule.begin(STARTED_MS);
    const nowMs = STARTED_MS + (elapsedMs ?? 0);
    t.is(schedule.mayBegin(false, nowMs), expected.request);
    t.is(schedule.mayBegin(true, nowMs), expected.nested);
    t.true(schedule.remainingMs(nowMs) <= expected.withinMs);
    t.is(schedule.stopping, elapsedMs !== null);
  });
}

test('a second stop signal does not extend the stop', t => {
  // Guards against a process that is killed while it serves requests.
  const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
  schedule.begin(STARTED_MS);
  schedule.begin(STARTED_MS + 2_000);
  t.false(schedule.mayBegin(false, STARTED_MS + 3_000));
});
