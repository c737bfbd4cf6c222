import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as gracefulStop from '../graceful-stop.js';
import * as loadMonitor from '../load-monitor.js';
import * as stopSchedule from '../stop-schedule.js';

/** Time from the stop signal until the process is killed. */
const LIMIT_MS = 6_000;

/** A stop that waits for work goes on until then, unless it learns of it late. */
const MINIMUM_MS = 5_000;

const PROCESS_STARTED_MS = 10_000;

interface Case {
  /** Time from the start of the process until its tasks run. */
  readonly startMs: number;
  /** Time for which its tasks run before the signal, or the standstill. */
  readonly runMs: number;
  /** Time from the signal until the process handles it. */
  readonly waitMs: number;
}

/**
 * Guards against a process that is still there when it is killed, because it
 * counts its stop from the time at which it handles the signal.
 */
const CASES: Readonly<Record<string, Case>> = {
  'a signal that is handled at once': {startMs: 300, runMs: 5_000, waitMs: 0},
  'a signal to a process that stands still': {
    startMs: 300,
    runMs: 5_030,
    waitMs: 2_000,
  },
  'a signal during a long start': {startMs: 3_000, runMs: 0, waitMs: 3_000},
};
for (const [name, {startMs, runMs, waitMs}] of Object.entries(CASES)) {
  test(`a stop that waits for work ends in time: ${name}`, async t => {
    const clock = new StandstillClock(PROCESS_STARTED_MS);
    const monitor = new loadMonitor.LoadMonitor({
      clock,
      logger: runtime.silentLogger,
      slots: {capacity: 10, runMs: 50, queueLength: 0},
      meter: {busyShare: () => 0},
      scheduler: {queueDelayMs: () => 0},
    });
    clock.standStill(startMs);
    if (runMs > 0) {
      void monitor.run(new runtime.CancelSource());
      await clock.advance(runMs);
      clock.standStill(waitMs);
    }
    const signalledMs = clock.monotonicMs() - waitMs;
    let closedMs = Infinity;
    const stop = new gracefulStop.GracefulStop({
      clock,
      logger: runtime.silentLogger,
      schedule: new stopSchedule.StopSchedule(LIMIT_MS),
      monitor,
      processStartedMs: PROCESS_STARTED_MS,
      clientRequests: () => 1,
      peerCalls: () => 0,
      announce: () => undefined,
      close: () => (closedMs = clock.monotonicMs()),
    });
    const stopped = stop.run();
    await clock.advance(2 * LIMIT_MS);
    await stopped;
    t.true(closedMs - signalledMs < LIMIT_MS, `${closedMs - signalledMs}`);
    t.true(closedMs - signalledMs >= MINIMUM_MS, `${closedMs - signalledMs}`);
  });
}

/** A manual clock that can advance without running anything. */
class StandstillClock extends runtime.ManualClock {
  private standstillMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.standstillMs;
  }

  standStill(milliseconds: number): void {
    this.standstillMs += milliseconds;
  }
}
