import test from 'ava';
import * as fc from 'fast-check';
import * as experiments from '../index.js';
import * as fairPart from '../fair-part.js';
import * as virtualTime from '../virtual-time.js';

// The quick subset: the product's control only, and the experiments with the
// fewest calls. The command runs the rest.
const quickCases = [
  {name: 'surge-2', seed: 1},
  {name: 'slow-service', seed: 1},
  {name: 'cold-start', seed: 1},
];
for (const {name, seed} of quickCases) {
  test(`${name} meets the bounds of the page, seed ${seed}`, t => {
    // Guards against a change of admission that misses a bound of section 1.
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

test('a missed bound fails the report', t => {
  // Guards against checks that cannot fail: this baseline has no admission.
  const report = experiments.runExperiment('slow-service', {
    seed: 1,
    controls: ['no control', 'camphorwharf'],
  });
  const [baseline, own] = report.controls;
  t.true(baseline.measures.goodput! < 50);
  t.true(own.measures.goodput! > baseline.measures.goodput!);
  const table = experiments.renderTable(report);
  t.regex(table, /goodput .*>= 95 %: (met|MISSED)/);
  const svg = experiments.renderSvg(report);
  t.is(svg.match(/<polyline/g)?.length, 3);
});

test('the same seed gives the same report, another seed another one', t => {
  const run = (seed: number) =>
    experiments.runExperiment('cold-start', {seed, controls: ['camphorwharf']});
  const first = run(7);
  t.deepEqual(run(7), first);
  t.notDeepEqual(run(8).controls[0].series, first.controls[0].series);
});

test('unknown names are refused with the names that exist', t => {
  t.throws(() => experiments.runExperiment('none', {seed: 1}), {
    instanceOf: RangeError,
    message: /surge-2/,
  });
  t.throws(
    () => experiments.runExperiment('surge-2', {seed: 1, deployment: 'none'}),
    {instanceOf: RangeError, message: /sahab/},
  );
});

test('fair parts use the capacity, classes first, and cap at the demand', t => {
  // Guards against a wrong yardstick for the worst-served organisation.
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
    const parts = fairPart.fairParts(organisations, capacity);
    parts.forEach((part, index) => {
      t.true(Math.abs(part - expected[index]) < 1e-6, `${part}`);
    });
  }
});

test('virtual time runs events in order of instant, then of insertion', t => {
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
