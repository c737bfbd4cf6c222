import * as stream from 'node:stream';

import test from 'ava';

import * as commandLine from '../index.js';
import * as bounds from '../measure/bounds.js';
import * as documents from '../measure/documents.js';
import * as processUsage from '../measure/process-usage.js';
import * as statistics from '../measure/statistics.js';

const formatStat = (name: string) =>
  `4711 (${name}) S 1 4711 4711 0 -1 4194560 9000 0 3 0 250 75 11 13 20 0 11 0 99 1 2`;

// Guards against a parser that splits the command name at spaces, which shifts
// the fields, and against adding the times of exited children (11 and 13).
for (const name of ['node', 'node (worker) 7', 'a) S 1 2 (b']) {
  test(`CPU time of a process named "${name}"`, t => {
    t.is(processUsage.parseCpuSeconds(formatStat(name)), 3.25);
  });
}

// Guards against reporting zero usage for a text in another format.
for (const text of ['', '4711 (node) S 1', 'no name at all 1 2 3']) {
  test(`the text "${text}" is rejected as process usage`, t => {
    t.throws(() => processUsage.parseCpuSeconds(text), {name: 'ProtocolError'});
    t.throws(() => processUsage.parseResidentBytes(text), {
      name: 'ProtocolError',
    });
  });
}

test('resident memory is VmRSS and not its maximum VmHWM', t => {
  const text = 'Name:\tnode\nVmHWM:\t   90000 kB\nVmRSS:\t   70000 kB\n';
  t.is(processUsage.parseResidentBytes(text), 71_680_000);
});

// Points, slope and intercept. Guards against a fit through the origin, which
// hides the fixed part of the cost, and against a division by 0.
const fits: ReadonlyArray<
  [ReadonlyArray<readonly [number, number]>, number | null, number]
> = [
  [
    [
      [2, 1.4],
      [6, 2.2],
      [27, 6.4],
    ],
    0.2,
    1,
  ],
  [
    [
      [0, 0],
      [1, 3],
      [2, 0],
    ],
    0,
    1,
  ],
  [
    [
      [6, 1],
      [6, 2],
    ],
    null,
    0,
  ],
  [[], null, 0],
];
for (const [points, slope, intercept] of fits) {
  test(`line through ${JSON.stringify(points)}`, t => {
    const line = statistics.fitLine(points.map(([x, value]) => ({x, value})));
    if (slope === null) {
      t.is(line, null);
      return;
    }
    t.true(Math.abs(line!.slope - slope) < 1e-9);
    t.true(Math.abs(line!.intercept - intercept) < 1e-9);
  });
}

test('median of odd, even and unsorted lists', t => {
  t.is(statistics.median([10, 9, 100]), 10);
  t.is(statistics.median([4, 1, 3, 2]), 2.5);
  t.is(statistics.median([]), NaN);
});

// Guards against adding metrics whose name starts with the requested name.
test('sum of one metric over its labels', t => {
  const text =
    '# HELP x text 9\nx{a="b 1"} 2\nx{a="c"} 3.5\nx_total 100\nxy 7\nx 1\n';
  t.is(statistics.sumMetric(text, 'x'), 6.5);
  t.is(statistics.sumMetric(text, 'absent'), 0);
});

// Guards against a missing measurement (NaN) that passes its bound.
for (const [seen, passed] of [
  [1.7, true],
  [-0.1, true],
  [1.701, false],
  [NaN, false],
] as const) {
  test(`added latency of ${seen} ms against its bound`, t => {
    const verdict = bounds.compareWithBound(bounds.BOUNDS.addedLatency, seen);
    t.is(verdict.passed, passed);
    t.is(bounds.verdictRows([verdict])[1]!.at(-1) === 'passed', passed);
  });
}

test('the bounds equal those of docs/design.md', t => {
  const {addedLatency, cpu, memory, traffic, incomplete} = bounds.BOUNDS;
  t.deepEqual(
    [addedLatency, cpu, memory, traffic, incomplete].map(({limit}) => limit),
    [1.7, 4.5, 256, 27, 0.1],
  );
});

// Guards against revisions with the same content, which daemons do not adopt.
test('each generated revision has different content', t => {
  const rates = [1, 2, 3].map(
    revision =>
      documents.singleServiceDocument(revision).organisations[0]!.ratePerSecond,
  );
  t.is(new Set(rates).size, 3);
});

// Guards against starting processes before the options are validated.
for (const [args, message] of [
  [['load', '--rate', '0'], /--rate 0: use a number from 1/],
  [['load', '--deployment', 'absent'], /use one of teranga, sahab/],
  [['load', '--seed', '1.5'], /--seed 1.5: use a whole number/],
  [['cost', '--sizes', '3,,7'], /--sizes : use a whole number/],
  [['cost', '--sizes', '34'], /--sizes 34: .* to 33/],
  [['cost', '--changes-per-second=-1'], /-second -1: use a number from 0/],
] as const) {
  test(`the usage exit code is returned for ${args.join(' ')}`, async t => {
    const stdout = new stream.PassThrough();
    const stderr = new stream.PassThrough();
    t.is(await commandLine.run(args, {stdout, stderr}), 2);
    t.is(stdout.read(), null);
    t.regex(String(stderr.read()), message);
  });
}
