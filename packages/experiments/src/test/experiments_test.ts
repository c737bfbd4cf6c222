import test from 'ava';
import * as fc from 'fast-check';
import * as experiments from '../index.js';
import * as fairShare from '../fair-share.js';
import * as virtualTime from '../virtual-time.js';

// Only the product's control and the experiments with the fewest calls, to
// keep the test short; `lib/main.js all` runs the rest.
const quickCases = [
  {name: 'surge-2', seed: 1},
  {name: 'slow-service', seed: 1},
  {name: 'cold-start', seed: 1},
];
for (const {name, seed} of quickCases) {
  test(`${name} meets its bounds with seed ${seed}`, t => {
    // Guards against changes of admission control that miss a design bound.
    const report = experiments.runExperiment(name, {
      seed,
      controls: ['camphorwharf'],
    });
    t.true(report.checks.length >= 5);
    t.deepEqual(
      report.checks.filter(check => !check.passed),
      [],
    );
  });
}

test('the baseline without control has a lower goodput than the product', t => {
  // Guards against measures that cannot fail: this baseline admits every call.
  const report = experiments.runExperiment('slow-service', {
    seed: 1,
    controls: ['no control', 'camphorwharf'],
  });
  const [baseline, product] = report.controls;
  t.true(baseline.measures.goodput! < 50);
  t.true(product.measures.goodput! > baseline.measures.goodput!);
  const table = experiments.renderTable(report);
  t.regex(table, /goodput .*>= 95 %: (met|MISSED)/);
  const svg = experiments.renderSvg(report);
  t.is(svg.match(/<polyline/g)?.length, 3);
});

test('equal seeds give equal reports and different seeds different ones', t => {
  const run = (seed: number) =>
    experiments.runExperiment('cold-start', {seed, controls: ['camphorwharf']});
  const first = run(7);
  t.deepEqual(run(7), first);
  t.notDeepEqual(run(8).controls[0].series, first.controls[0].series);
});

test('the error for an unknown name lists the known names', t => {
  t.throws(() => experiments.runExperiment('none', {seed: 1}), {
    instanceOf: RangeError,
    message: /surge-2/,
  });
  t.throws(
    () => experiments.runExperiment('surge-2', {seed: 1, deployment: 'none'}),
    {instanceOf: RangeError, message: /sahab/},
  );
});

test('fair shares use the capacity by class and never exceed the demand', t => {
  // Guards against a wrong reference for the measure of the worst organisation.
  const cases = [
    {
      organisations: [
        {weight: 1, demands: [0, 10]},
        {weight: 1, demands: [0, 100]},
      ],
      capacity: 50,
      expected: [10, 40],
    },
    {
      organisations: [
        {weight: 1, demands: [30, 0]},
        {weight: 3, demands: [0, 100]},
      ],
      capacity: 50,
      expected: [30, 20],
    },
    {
      organisations: [
        {weight: 1, demands: [100, 0]},
        {weight: 4, demands: [100, 0]},
      ],
      capacity: 50,
      expected: [10, 40],
    },
  ];
  for (const {organisations, capacity, expected} of cases) {
    const shares = fairShare.fairShares(organisations, capacity);
    shares.forEach((share, index) => {
      t.true(Math.abs(share - expected[index]) < 1e-6, `${share}`);
    });
  }
});

test('virtual time runs events by time and then by insertion order', t => {
  fc.assert(
    fc.property(fc.array(fc.nat(50), {maxLength: 100}), delays => {
      const time = new virtualTime.VirtualTime();
      const seen: Array<readonly [number, number]> = [];
      delays.forEach((delay, index) =>
        time.after(delay, () => seen.push([time.nowMs, index])),
      );
      time.runUntil(50);
      const sorted = [...seen].sort(
        (first, second) => first[0] - second[0] || first[1] - second[1],
      );
      return (
        seen.length === delays.length &&
        JSON.stringify(seen) === JSON.stringify(sorted)
      );
    }),
    {seed: 6, numRuns: 200},
  );
  t.pass();
});
