import test from 'ava';
import * as downstreamPressure from '../downstream-pressure.js';

/** Runs a second, calls a second, and the part of a pressure that counts. */
const RATIOS: ReadonlyArray<readonly [string, number, number, number, number]> =
  [
    ['each run calls the service twice', 50, 100, 0.95, 1],
    ['each run calls it once', 50, 50, 0.95, 1],
    ['half of the runs call it', 100, 50, 0.4, 0.6],
    ['one run in fifty calls it', 100, 2, 0, 0.05],
    ['a client of the host asks it without any run', 0, 1, 0, 1],
  ];
for (const [name, runs, calls, least, most] of RATIOS) {
  test(`pressure below: ${name}`, t => {
    const below = new downstreamPressure.DownstreamPressure();
    for (let nowMs = 0; nowMs < 6_000; nowMs++) {
      if (runs > 0 && nowMs % (1_000 / runs) === 0) below.noteRun(nowMs);
      if (nowMs % (1_000 / calls) === 0) {
        below.noteCall('billing', nowMs);
        below.learn('billing', 0.8, nowMs);
      }
    }
    const share = below.highest(6_000) / 0.8;
    t.true(share >= least && share <= most, `${share}`);
  });
}

test('services that now and then call each other lose their pressure', t => {
  // Guards against an overload that lasts beyond its cause: a single keyless
  // request to a public route of the calling service counts as a call of the
  // backend server next to which it is sent (sahab-hire, 92c41027).
  const dispatch = new downstreamPressure.DownstreamPressure();
  const billing = new downstreamPressure.DownstreamPressure();
  for (let nowMs = 0; nowMs < 8_000; nowMs++) {
    const ofBilling = Math.max(nowMs < 4_000 ? 0.8 : 0, billing.highest(nowMs));
    if (nowMs % 50 === 0) dispatch.noteRun(nowMs);
    if (nowMs % 10 === 0) {
      dispatch.noteCall('billing', nowMs);
      dispatch.learn('billing', ofBilling, nowMs);
      billing.noteRun(nowMs);
    }
    if (nowMs % 700 === 0) {
      billing.noteCall('dispatch', nowMs);
      billing.learn('dispatch', dispatch.highest(nowMs), nowMs);
    }
    if (nowMs === 3_999) t.true(dispatch.highest(nowMs) > 0.75);
  }
  t.true(dispatch.highest(8_000) < 0.02, `${dispatch.highest(8_000)}`);
});
