import test from 'ava';

import * as phasedDelay from '../phased-delay.js';

/** Guards against two heartbeats for each timer that fires early. */
const CASES: ReadonlyArray<readonly [string, number, number, number, number]> =
  [
    ['on the instant: a whole interval', 1_000, 500, 0, 500],
    ['a little early: the instant after the next one', 999.5, 500, 0, 500.5],
    ['a little late: the next instant', 1_003, 500, 0, 497],
    ['half an interval late: the next instant', 1_250, 500, 0, 250],
    ['with a phase', 1_000, 500, 100, 400],
  ];
for (const [name, nowMs, intervalMs, phaseMs, expected] of CASES) {
  test(`delay of a timer that fires ${name}`, t => {
    t.is(phasedDelay.delayToPhase(nowMs, intervalMs, phaseMs), expected);
  });
}
