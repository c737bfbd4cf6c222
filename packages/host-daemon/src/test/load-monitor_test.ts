import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as loadMonitor from '../load-monitor.js';
import * as laggingClock from './lagging-clock.js';

const IDLE = {
  slots: {capacity: 10, runMs: 50, queueLength: 0},
  scheduler: {queueDelayMs: () => 0},
};

/** Guards against a host without CPU time accepting every request. */
const CASES: ReadonlyArray<
  readonly [string, readonly number[], (pressure: number) => boolean]
> = [
  ['not lagging: no pressure', [0, 5, 0, 20, 0], pressure => pressure === 0],
  ['lagging once: no pressure', [0, 900, 0, 0, 0], pressure => pressure === 0],
  [
    'lagging for 2 s: most requests should be rejected',
    new Array<number>(20).fill(300),
    pressure => pressure > 0.5,
  ],
  [
    'lagging for 2 s, then not for 2 s: no pressure',
    [...new Array<number>(20).fill(300), ...new Array<number>(20).fill(0)],
    pressure => pressure === 0,
  ],
];
for (const [name, lagsMs, holds] of CASES) {
  test(`a process that is ${name}`, async t => {
    const stop = new runtime.CancelSource();
    const monitor = new loadMonitor.LoadMonitor({
      ...IDLE,
      clock: new laggingClock.LaggingClock(lagsMs, stop),
      logger: runtime.silentLogger,
      meter: {busyShare: () => 0},
    });
    await monitor.run(stop);
    const pressure = monitor.processPressure;
    t.true(holds(pressure), `${pressure}`);
  });
}

test('a permanently busy process reports pressure without shedding its clients', async t => {
  // Guards against CPU saturation going unnoticed, and against shedding clients
  // that do not cause it.
  const stop = new runtime.CancelSource();
  const events: string[] = [];
  const note = (event: string) => void events.push(event);
  let observations = 0;
  const monitor = new loadMonitor.LoadMonitor({
    ...IDLE,
    clock: new laggingClock.LaggingClock(new Array<number>(80).fill(0), stop),
    logger: {...runtime.silentLogger, info: note},
    meter: {busyShare: () => (observations++ < 40 ? 1 : 0.2)},
  });
  await monitor.run(stop);
  t.deepEqual(events, ['pressure-begun', 'pressure-ended']);
  t.is(monitor.processPressure, 0);
});

test('queued work counts as lag of the process', async t => {
  // Guards against a process that reads its sockets in time, and so appears not
  // to be lagging, while the work it has read is queued.
  const stop = new runtime.CancelSource();
  const monitor = new loadMonitor.LoadMonitor({
    ...IDLE,
    scheduler: {queueDelayMs: () => 300},
    clock: new laggingClock.LaggingClock(new Array<number>(20).fill(0), stop),
    logger: runtime.silentLogger,
    meter: {busyShare: () => 0},
  });
  await monitor.run(stop);
  t.true(monitor.processPressure > 0.5, `${monitor.processPressure}`);
});
