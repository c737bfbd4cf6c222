import test from 'ava';
import * as fc from 'fast-check';
import * as runtime from '@camphorwharf/runtime';
import * as admission from '../index.js';
import * as targetSimulation from './target-simulation.js';

const LIMITS = {maximumConcurrency: 500, maximumQueue: 256};

function build(
  seed: number,
  slots: number,
  sources: targetSimulation.TrafficSource[],
): targetSimulation.TargetSimulation {
  return new targetSimulation.TargetSimulation(
    new admission.TargetAdmission(LIMITS),
    slots,
    new runtime.SeededRandom(seed),
    sources,
  );
}

function source(
  organisation: string,
  perSecond: number,
  importance: 0 | 1 | 2 | 3 = 2,
  weight = 1,
): targetSimulation.TrafficSource {
  return {organisation, perSecond, importance, weight};
}

const surgeCases = [
  {factor: 2, slots: 15, sendersHonourThresholds: true, seed: 11},
  {factor: 10, slots: 15, sendersHonourThresholds: true, seed: 12},
  {factor: 10, slots: 15, sendersHonourThresholds: false, seed: 13},
  {factor: 10, slots: 50, sendersHonourThresholds: true, seed: 14},
];
for (const {factor, slots, sendersHonourThresholds, seed} of surgeCases) {
  test(`${slots} slots at ${factor} times demand, senders ${sendersHonourThresholds ? 'honour' : 'ignore'} the threshold, seed ${seed}`, t => {
    // Guards against a collapse of goodput, and against overload state that
    // persists after the overload has ended.
    const capacity = slots * 50;
    const target = build(seed, slots, [
      source('a', (capacity * factor) / 2, 1),
      source('b', (capacity * factor) / 2, 2),
    ]);
    target.sendersHonourThresholds = sendersHonourThresholds;
    target.run(3_000);
    const before = target.completed.size;
    target.run(5_000);
    const goodput = (target.completed.size - before) / 5 / capacity;
    t.true(goodput >= 0.95, `goodput ${goodput}`);
    for (const each of target.sources) each.perSecond = capacity * 0.35;
    target.run(2_000);
    t.is(target.controller.threshold(target.nowMs), null);
    target.refused.length = 0;
    target.run(2_000);
    t.is(target.refused.length, 0, 'refusals 2 s after the surge');
  });
}

const slowCases = [
  {slots: 15, factor: 10, seed: 21},
  {slots: 50, factor: 3, seed: 22},
];
for (const {slots, factor, seed} of slowCases) {
  test(`${slots} slots recover after a slowdown by ${factor}, seed ${seed}`, t => {
    // Guards against a limit that collapses because calls take longer, and
    // against one that stays low after the service has recovered.
    const capacity = slots * 50;
    const target = build(seed, slots, [source('a', capacity * 0.8)]);
    target.run(3_000);
    target.meanMs = 20 * factor;
    target.run(4_000);
    const slowBefore = target.completed.size;
    target.run(10_000);
    const slow =
      ((target.completed.size - slowBefore) / 10 / capacity) * factor;
    t.true(slow >= 0.9, `goodput while slow ${slow}`);
    target.meanMs = 20;
    target.run(2_000);
    target.refused.length = 0;
    target.run(2_000);
    t.is(target.refused.length, 0, 'refusals 2 s after the recovery');
  });
}

const shareCases = [
  {greedy: 5, sendersHonourThresholds: true, seed: 31},
  {greedy: 50, sendersHonourThresholds: true, seed: 32},
  {greedy: 5, sendersHonourThresholds: false, seed: 33},
];
for (const {greedy, sendersHonourThresholds, seed} of shareCases) {
  test(`an organisation at ${greedy} times its share does not affect the others, seed ${seed}`, t => {
    // Guards against shedding by rank alone, which treats all calls equally and
    // so serves an organisation more the more it sends.
    const capacity = 15 * 50;
    const fair = capacity / 4;
    const target = build(seed, 15, [
      source('greedy', fair * greedy),
      source('b', fair * 0.9),
      source('c', fair * 0.9),
      source('d', fair * 0.9),
    ]);
    target.sendersHonourThresholds = sendersHonourThresholds;
    target.run(3_000);
    target.completed.clear();
    target.refused.length = 0;
    target.run(10_000);
    for (const name of ['b', 'c', 'd']) {
      const done = [...target.completed.keys()].filter(
        call => call.organisation === name,
      ).length;
      const refused = target.refused.filter(
        call => call.organisation === name,
      ).length;
      t.true(refused <= (done + refused) * 0.01, `${name} lost ${refused}`);
    }
    const goodput = target.completed.size / 10 / capacity;
    t.true(goodput >= 0.95, `goodput ${goodput}`);
  });
}

test('important calls pass while less important ones are shed', t => {
  const capacity = 15 * 50;
  const target = build(41, 15, [
    source('a', capacity * 0.3, 0),
    source('b', capacity * 0.3, 1),
    source('c', capacity * 5, 2),
    source('c', capacity * 5, 3),
  ]);
  target.run(2_000);
  target.refused.length = 0;
  target.completed.clear();
  target.run(5_000);
  const lost = target.refused.filter(call => call.importance < 2).length;
  t.is(lost, 0);
  const lowImportance = [...target.completed.keys()].filter(
    one => one.importance === 3,
  );
  t.true(lowImportance.length < target.completed.size * 0.02);
});

test('a call that cannot end in time is refused before it starts', t => {
  const controller = new admission.TargetAdmission(LIMITS);
  const call = {
    requestId: 'request',
    organisation: 'a',
    weight: 1,
    importance: 1 as const,
    rank: 0,
    deadlineMs: 1_000,
  };
  const {verdict} = controller.offer(call, 0);
  t.is(verdict.kind, 'start');
  if (verdict.kind !== 'start') return;
  controller.finish(verdict.ticket, 'succeeded', 100, 100);
  t.deepEqual(controller.offer({...call, deadlineMs: 150}, 100).verdict, {
    kind: 'refuse',
    reason: 'deadlineTooShort',
  });
  // The estimate expires, as it would never be corrected without calls.
  const later = {...call, deadlineMs: 1_250};
  t.is(controller.offer(later, 1_201).verdict.kind, 'start');
});

test('every offered call ends exactly once and counts stay within bounds', t => {
  // Guards against lost tickets, calls that end twice and leaked slots.
  const step = fc.record({
    kind: fc.constantFrom('offer', 'finish', 'abandon', 'tick', 'cold'),
    pick: fc.nat(1_000),
    result: fc.constantFrom(
      'succeeded' as const,
      'failed' as const,
      'overloaded' as const,
      'cancelled' as const,
    ),
    elapsedMs: fc.nat(30),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 300}), steps => {
      const controller = new admission.TargetAdmission({
        maximumConcurrency: 8,
        maximumQueue: 12,
      });
      const waiting = new Set<admission.AdmissionTicket>();
      const started = new Set<admission.AdmissionTicket>();
      const take = (events: readonly admission.AdmissionEvent[]) => {
        for (const event of events) {
          if (!waiting.delete(event.ticket)) throw new Error('not waiting');
          if (event.kind === 'start') started.add(event.ticket);
        }
      };
      let nowMs = 0;
      for (const {kind, pick, result, elapsedMs} of steps) {
        nowMs += elapsedMs;
        if (kind === 'offer') {
          const {verdict, events} = controller.offer(
            {
              requestId: `${pick}`,
              organisation: pick % 3 === 0 ? null : `${pick % 3}`,
              weight: 1,
              importance: (pick % 4) as 0 | 1 | 2 | 3,
              rank: pick / 1_001,
              deadlineMs: nowMs + (pick % 90),
            },
            nowMs,
          );
          if (verdict.kind === 'wait') waiting.add(verdict.ticket);
          if (verdict.kind === 'start') started.add(verdict.ticket);
          take(events);
        } else if (kind === 'finish') {
          const ticket = [...started][pick % Math.max(1, started.size)];
          if (!ticket) continue;
          started.delete(ticket);
          take(controller.finish(ticket, result, pick % 50, nowMs));
          take(controller.finish(ticket, result, pick % 50, nowMs));
        } else if (kind === 'abandon') {
          const ticket = [...waiting][pick % Math.max(1, waiting.size)];
          if (!ticket) continue;
          waiting.delete(ticket);
          controller.abandon(ticket, nowMs);
        } else if (kind === 'tick') {
          take(controller.tick(nowMs));
        } else {
          controller.beginColdStart(nowMs);
        }
        if (controller.inFlight !== started.size) return false;
        if (controller.waiting !== waiting.size) return false;
        if (waiting.size > 12 || started.size > 8) return false;
      }
      return true;
    }),
    {seed: 5, numRuns: 300},
  );
  t.pass();
});
