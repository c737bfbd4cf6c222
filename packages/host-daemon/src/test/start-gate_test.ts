import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as startGate from '../start-gate.js';

const DEADLINE_MS = 1_000;

function gateOf(clock: runtime.ManualClock, isLate = false) {
  return new startGate.StartGate({
    clock,
    metrics: new runtime.Metrics(),
    isLate: () => isLate,
  });
}

/** Resolves after this number of polls of the sockets. */
async function polls(count: number): Promise<void> {
  for (let poll = 0; poll < count; poll++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

interface Case {
  readonly isLate: boolean;
  /** How long the turn has lasted when the work is asked for. */
  readonly turnMs: number;
  /** Work that was asked for in the turn before this one. */
  readonly before: number;
  /** When the caller leaves, in polls after the work was asked for. */
  readonly leavesAfterPolls: number | null;
  readonly expected: startGate.StartVerdict;
}

/**
 * Guards against work for callers that have left while this process worked
 * through its input (GONE, sahab-hire mix --seed 799376693848).
 */
const CASES: Readonly<Record<string, Case>> = {
  'a process on time begins at once': {
    isLate: false,
    turnMs: 0,
    before: 0,
    leavesAfterPolls: 1,
    expected: 'start',
  },
  'a cancellation right behind the call is read first': {
    isLate: false,
    turnMs: 0,
    before: 0,
    leavesAfterPolls: 0,
    expected: 'cancelled',
  },
  'a long turn ends before the call begins': {
    isLate: false,
    turnMs: 50,
    before: 1,
    leavesAfterPolls: 1,
    expected: 'cancelled',
  },
  'a turn with much work ends before the call begins': {
    isLate: false,
    turnMs: 0,
    before: 40,
    leavesAfterPolls: 1,
    expected: 'cancelled',
  },
  'a late process reads the end behind the last data': {
    isLate: true,
    turnMs: 0,
    before: 0,
    leavesAfterPolls: 2,
    expected: 'cancelled',
  },
  'a caller that stays is served after a long turn': {
    isLate: false,
    turnMs: 50,
    before: 1,
    leavesAfterPolls: null,
    expected: 'start',
  },
};
for (const [name, one] of Object.entries(CASES)) {
  test(`start of a call: ${name}`, async t => {
    const clock = new runtime.ManualClock();
    const gate = gateOf(clock, one.isLate);
    const stays = new runtime.CancelSource();
    for (let index = 0; index < one.before; index++) {
      void gate.pass('target', stays, DEADLINE_MS);
    }
    if (one.turnMs > 0) await clock.advance(one.turnMs);
    const caller = new runtime.CancelSource();
    if (one.leavesAfterPolls !== null && one.leavesAfterPolls > 0) {
      void polls(one.leavesAfterPolls).then(() => caller.abort());
    }
    const verdict = gate.pass('target', caller, DEADLINE_MS);
    if (one.leavesAfterPolls === 0) caller.abort();
    t.is(await verdict, one.expected);
  });
}

test('waiting work begins in order, in turns, and all of it', async t => {
  // Guards against work that waits for ever or is overtaken.
  const gate = gateOf(new runtime.ManualClock(), true);
  const begun: number[] = [];
  const asked = Array.from({length: 100}, (_, index) => index);
  await Promise.all(
    asked.map(async index => {
      await gate.pass('target', new runtime.CancelSource(), DEADLINE_MS);
      begun.push(index);
    }),
  );
  t.deepEqual(begun, asked);
});

test('work whose time has passed while it waited does not begin', async t => {
  const clock = new runtime.ManualClock();
  const gate = gateOf(clock, true);
  const verdict = gate.pass('slot', new runtime.CancelSource(), 100);
  await clock.advance(100);
  t.is(gate.waitMs(clock.monotonicMs()), 100);
  t.is(await verdict, 'deadlineExpired');
});
