import test from 'ava';

import * as phasedDelay from '../phased-delay.js';

/**
 * Guards against a second heartbeat directly after a timer that fires early.
 */
const CASES: ReadonlyArray<readonly [string, number, number, number, number]> =
  [
    ['on time: a full interval', 1_000, 500, 0, 500],
    ['slightly early: skips the current multiple', 999.5, 500, 0, 500.5],
    ['slightly late: until the next multiple', 1_003, 500, 0, 497],
    ['half an interval late: until the next multiple', 1_250, 500, 0, 250],
    ['with a phase offset', 1_000, 500, 100, 400],
  ];
for (const [name, nowMs, intervalMs, phaseMs, expected] of CASES) {
  test(`delayToPhase: a timer that fires ${name}`, t => {
    t.is(phasedDelay.delayToPhase(nowMs, intervalMs, phaseMs), expected);
  });
}
