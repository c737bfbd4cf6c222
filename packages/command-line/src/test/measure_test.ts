import * as stream from 'node:stream';

import test from 'ava';

import * as commandLine from '../index.js';
import * as bounds from '../measure/bounds.js';
import * as documents from '../measure/documents.js';
import * as processUsage from '../measure/process-usage.js';
import * as statistics from '../measure/statistics.js';

const stat = (name: string) =>
  `4711 (${name}) S 1 4711 4711 0 -1 4194560 9000 0 3 0 250 75 11 13 20 0 11 0 99 1 2`;

// A name with spaces and parentheses shifts fields when it is split at spaces;
// 11 and 13 are the times of ended children, which must not be added.
for (const name of ['node', 'node (worker) 7', 'a) S 1 2 (b']) {
  test(`CPU time of a process named "${name}"`, t => {
    t.is(processUsage.parseCpuSeconds(stat(name)), 3.25);
  });
}

// A text of another form must not count as a process without cost.
for (const text of ['', '4711 (node) S 1', 'no name at all 1 2 3']) {
  test(`no usage from the text "${text}"`, t => {
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

// Each case: points, slope, intercept. Guards against a fit through the
// origin, which hides the fixed part of the cost, and against a division by 0.
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
for (const [pairs, slope, intercept] of fits) {
  test(`line through ${JSON.stringify(pairs)}`, t => {
    const line = statistics.fitLine(pairs.map(([x, value]) => ({x, value})));
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

// A name that is the start of another one must not be added to it.
test('sum of one metric over its labels', t => {
  const text =
    '# HELP x text 9\nx{a="b 1"} 2\nx{a="c"} 3.5\nx_total 100\nxy 7\nx 1\n';
  t.is(statistics.sumMetric(text, 'x'), 6.5);
  t.is(statistics.sumMetric(text, 'absent'), 0);
});

// A value without measurement (NaN) must not pass.
for (const [seen, passed] of [
  [1.7, true],
  [-0.1, true],
  [1.701, false],
  [NaN, false],
] as const) {
  test(`added latency of ${seen} ms against its bound`, t => {
    const verdict = bounds.judge(bounds.BOUNDS.addedLatency, seen);
    t.is(verdict.passed, passed);
    t.is(bounds.verdictRows([verdict])[1]!.at(-1) === 'passed', passed);
  });
}

test('the bounds are those of the design page', t => {
  const {addedLatency, cpu, memory, traffic, incomplete} = bounds.BOUNDS;
  t.deepEqual(
    [addedLatency, cpu, memory, traffic, incomplete].map(({limit}) => limit),
    [1.7, 4.5, 256, 27, 0.1],
  );
});

// Daemons keep their document when a revision has the same content.
test('each generated revision has other content', t => {
  const rates = [1, 2, 3].map(
    revision =>
      documents.singleServiceDocument(revision).organisations[0]!.ratePerSecond,
  );
  t.is(new Set(rates).size, 3);
});

// An option out of range must end before any process is started.
for (const [words, message] of [
  [['load', '--rate', '0'], /--rate 0: use a number from 1/],
  [['load', '--deployment', 'absent'], /use one of teranga, sahab/],
  [['load', '--seed', '1.5'], /--seed 1.5: use a whole number/],
  [['cost', '--sizes', '3,,7'], /--sizes : use a whole number/],
  [['cost', '--sizes', '34'], /--sizes 34: .* to 33/],
  [['cost', '--changes-per-second=-1'], /-second -1: use a number from 0/],
] as const) {
  test(`usage exit code of ${words.join(' ')}`, async t => {
    const stdout = new stream.PassThrough();
    const stderr = new stream.PassThrough();
    t.is(await commandLine.run(words, {stdout, stderr}), 2);
    t.is(stdout.read(), null);
    t.regex(String(stderr.read()), message);
  });
}
