import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as workScheduler from '../work-scheduler.js';

const DEADLINE_MS = 1_000;

function createScheduler(clock: runtime.ManualClock, isLagging = false) {
  return new workScheduler.WorkScheduler({
    clock,
    metrics: new runtime.Metrics(),
    isLagging: () => isLagging,
  });
}

/** Resolves after this number of socket polls. */
async function waitForPolls(count: number): Promise<void> {
  for (let poll = 0; poll < count; poll++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

interface Case {
  readonly isLagging: boolean;
  /** How long the turn has lasted when the work is requested. */
  readonly elapsedMs: number;
  /** Amount of work requested earlier in the test. */
  readonly queuedBefore: number;
  /** When the caller disconnects, in polls after the request. */
  readonly disconnectsAfterPolls: number | null;
  readonly expected: workScheduler.ScheduleOutcome;
}

/**
 * Guards against work for callers that disconnected while this process was
 * working through its input (rule GONE, found with sahab-hire, mix --seed
 * 799376693848).
 */
const CASES: Readonly<Record<string, Case>> = {
  'a process that is not lagging starts work immediately': {
    isLagging: false,
    elapsedMs: 0,
    queuedBefore: 0,
    disconnectsAfterPolls: 1,
    expected: 'start',
  },
  'a cancellation that directly follows the call is handled first': {
    isLagging: false,
    elapsedMs: 0,
    queuedBefore: 0,
    disconnectsAfterPolls: 0,
    expected: 'cancelled',
  },
  'a long turn ends before the call starts': {
    isLagging: false,
    elapsedMs: 50,
    queuedBefore: 1,
    disconnectsAfterPolls: 1,
    expected: 'cancelled',
  },
  'a turn with many starts ends before the call starts': {
    isLagging: false,
    elapsedMs: 0,
    queuedBefore: 40,
    disconnectsAfterPolls: 1,
    expected: 'cancelled',
  },
  'a lagging process reads the end of the connection after its last data': {
    isLagging: true,
    elapsedMs: 0,
    queuedBefore: 0,
    disconnectsAfterPolls: 2,
    expected: 'cancelled',
  },
  'a connected caller is served after a long turn': {
    isLagging: false,
    elapsedMs: 50,
    queuedBefore: 1,
    disconnectsAfterPolls: null,
    expected: 'start',
  },
};
for (const [name, testCase] of Object.entries(CASES)) {
  test(`start of a call: ${name}`, async t => {
    const clock = new runtime.ManualClock();
    const scheduler = createScheduler(clock, testCase.isLagging);
    const connected = new runtime.CancelSource();
    for (let index = 0; index < testCase.queuedBefore; index++) {
      void scheduler.schedule('target', connected, DEADLINE_MS);
    }
    if (testCase.elapsedMs > 0) await clock.advance(testCase.elapsedMs);
    const caller = new runtime.CancelSource();
    if (
      testCase.disconnectsAfterPolls !== null &&
      testCase.disconnectsAfterPolls > 0
    ) {
      void waitForPolls(testCase.disconnectsAfterPolls).then(() =>
        caller.abort(),
      );
    }
    const outcome = scheduler.schedule('target', caller, DEADLINE_MS);
    if (testCase.disconnectsAfterPolls === 0) caller.abort();
    t.is(await outcome, testCase.expected);
  });
}

test('all queued work starts, in order and over several turns', async t => {
  // Guards against work that is never started or is overtaken.
  const scheduler = createScheduler(new runtime.ManualClock(), true);
  const started: number[] = [];
  const requested = Array.from({length: 100}, (_, index) => index);
  await Promise.all(
    requested.map(async index => {
      await scheduler.schedule(
        'target',
        new runtime.CancelSource(),
        DEADLINE_MS,
      );
      started.push(index);
    }),
  );
  t.deepEqual(started, requested);
});

test('queued work whose deadline has expired does not start', async t => {
  const clock = new runtime.ManualClock();
  const scheduler = createScheduler(clock, true);
  const outcome = scheduler.schedule('slot', new runtime.CancelSource(), 100);
  await clock.advance(100);
  t.is(scheduler.queueDelayMs(clock.monotonicMs()), 100);
  t.is(await outcome, 'deadlineExpired');
});
