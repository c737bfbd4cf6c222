import test from 'ava';
import * as runtime from '@camphorwharf/runtime';
import * as admission from '../index.js';
import * as demandEstimate from '../demand-estimate.js';
import * as targetSimulation from './target-simulation.js';

const LIMITS = {maximumConcurrency: 500, maximumQueue: 256};

function saturated(
  seed: number,
  slots: number,
): targetSimulation.TargetSimulation {
  return new targetSimulation.TargetSimulation(
    new admission.TargetAdmission(LIMITS),
    slots,
    new runtime.SeededRandom(seed),
    [
      {
        organisation: 'a',
        weight: 1,
        importance: 2,
        perSecond: slots * 50 * 3,
      },
    ],
  );
}

const reportCases = [
  {inFlight: 0, slots: 10_000, seed: 52},
  {inFlight: 0, slots: 0, seed: 53},
];
for (const {inFlight, slots, seed} of reportCases) {
  test(`a report of ${inFlight} calls in ${slots} slots changes nothing, seed ${seed}`, t => {
    // Guards against load reports that raise the limit.
    const [withReports, withoutReports] = [
      saturated(seed, 15),
      saturated(seed, 15),
    ];
    for (let step = 0; step < 60; step++) {
      withReports.controller.noteReportedLoad(
        inFlight,
        slots,
        withReports.nowMs,
      );
      withReports.run(100);
      withoutReports.run(100);
      t.is(
        withReports.controller.concurrencyLimit,
        withoutReports.controller.concurrencyLimit,
      );
    }
  });
}

test('continuous reports of a full server do not stop growth', t => {
  const target = saturated(51, 15);
  for (let step = 0; step < 30; step++) {
    target.controller.noteReportedLoad(15, 15, target.nowMs);
    target.run(100);
  }
  t.true(target.controller.concurrencyLimit >= 15);
});

for (const {slots, seed} of [
  {slots: 15, seed: 61},
  {slots: 100, seed: 62},
]) {
  test(`a cold start begins small and reaches ${slots} slots in 3 s, seed ${seed}`, t => {
    const target = saturated(seed, slots);
    target.run(3_000);
    t.true(target.controller.concurrencyLimit >= slots * 0.8);
    target.controller.beginColdStart(target.nowMs);
    t.true(target.controller.concurrencyLimit <= 4);
    target.run(3_000);
    t.true(target.controller.concurrencyLimit >= slots * 0.8);
  });
}

test('overload failures lower the limit once per cause', t => {
  const fresh = new admission.TargetAdmission(LIMITS);
  const call = {
    requestId: 'request',
    organisation: 'a',
    weight: 1,
    importance: 1 as const,
    rank: 0,
    deadlineMs: 10_000,
  };
  const started = [0, 1, 2, 3].map(() => fresh.offer(call, 0).verdict);
  for (const verdict of started) {
    if (verdict.kind === 'start') {
      fresh.finish(verdict.ticket, 'overloaded', 1, 5);
    }
  }
  t.is(fresh.concurrencyLimit, 3, '4 * 0.9, not 4 * 0.9 ** 4');
});

const estimateCases = [
  {cutoff: 1, seed: 81},
  {cutoff: 0.2, seed: 82},
  {cutoff: 0.05, seed: 83},
];
for (const {cutoff, seed} of estimateCases) {
  test(`the demand estimate does not depend on the cutoff ${cutoff}, seed ${seed}`, t => {
    // Guards against cutoffs that follow the noise of a few calls: a low cutoff
    // hides the calls that would show that it is too low.
    const random = new runtime.SeededRandom(seed);
    const estimate = new demandEstimate.DemandEstimate();
    const rates = new Map([
      ['large', 400],
      ['small', 50],
    ]);
    let demands: readonly demandEstimate.ShareDemand[] = [];
    for (let window = 0; window < 50; window++) {
      for (const [name, rate] of rates) {
        for (let call = 0; call < rate / 10; call++) {
          if (random.next() < cutoff) estimate.noteArrival(name, rate);
        }
      }
      demands = estimate.closeWindow(100, () => cutoff);
    }
    for (const demand of demands) {
      const ratio = demand.amount / rates.get(demand.name)!;
      t.true(ratio > 0.5 && ratio < 2, `${demand.name}: ${ratio}`);
    }
    t.is(demands.length, 2);
  });
}
