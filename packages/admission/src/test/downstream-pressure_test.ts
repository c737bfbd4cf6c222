import test from 'ava';
import * as downstreamPressure from '../downstream-pressure.js';

/** Runs and calls per second, and the bounds of the weight of the pressure. */
const RATIOS: ReadonlyArray<readonly [string, number, number, number, number]> =
  [
    ['each run calls the service twice', 50, 100, 0.95, 1],
    ['each run calls it once', 50, 50, 0.95, 1],
    ['half of the runs call it', 100, 50, 0.4, 0.6],
    ['one run in fifty calls it', 100, 2, 0, 0.05],
    ['a client on the host calls it without any run', 0, 1, 0, 1],
  ];
for (const [name, runs, calls, minimum, maximum] of RATIOS) {
  test(`downstream pressure: ${name}`, t => {
    const downstream = new downstreamPressure.DownstreamPressure();
    for (let nowMs = 0; nowMs < 6_000; nowMs++) {
      if (runs > 0 && nowMs % (1_000 / runs) === 0) downstream.noteRun(nowMs);
      if (nowMs % (1_000 / calls) === 0) {
        downstream.noteCall('billing', nowMs);
        downstream.update('billing', 0.8, nowMs);
      }
    }
    const share = downstream.highest(6_000) / 0.8;
    t.true(share >= minimum && share <= maximum, `${share}`);
  });
}

test('the pressure of services that occasionally call each other decays', t => {
  // Guards against overload that outlasts its cause. A single keyless request
  // to a public route of the calling service counts as a call of the backend
  // server on the same host (sahab-hire, 92c41027).
  const dispatch = new downstreamPressure.DownstreamPressure();
  const billing = new downstreamPressure.DownstreamPressure();
  for (let nowMs = 0; nowMs < 8_000; nowMs++) {
    const billingPressure = Math.max(
      nowMs < 4_000 ? 0.8 : 0,
      billing.highest(nowMs),
    );
    if (nowMs % 50 === 0) dispatch.noteRun(nowMs);
    if (nowMs % 10 === 0) {
      dispatch.noteCall('billing', nowMs);
      dispatch.update('billing', billingPressure, nowMs);
      billing.noteRun(nowMs);
    }
    if (nowMs % 700 === 0) {
      billing.noteCall('dispatch', nowMs);
      billing.update('dispatch', dispatch.highest(nowMs), nowMs);
    }
    if (nowMs === 3_999) t.true(dispatch.highest(nowMs) > 0.75);
  }
  t.true(dispatch.highest(8_000) < 0.02, `${dispatch.highest(8_000)}`);
});
