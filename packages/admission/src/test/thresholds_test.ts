import test from 'ava';
import * as fc from 'fast-check';
import * as admission from '../index.js';
import * as waterFill from '../water-fill.js';

const call = (
  importance: 0 | 1 | 2 | 3,
  rank: number,
  organisation: string | null = 'firm',
) => ({importance, rank, organisation});

const cases = [
  {call: call(0, 0.99), passes: true, why: 'a more important class passes'},
  {call: call(1, 0.39), passes: true, why: 'a rank below the cutoff passes'},
  {
    call: call(1, 0.4),
    passes: false,
    why: 'a rank equal to the cutoff is refused',
  },
  {call: call(2, 0), passes: false, why: 'a less important class is refused'},
  {
    call: call(1, 0.2, 'greedy'),
    passes: false,
    why: 'the cutoff of the organisation applies',
  },
  {
    call: call(0, 0.9, 'greedy'),
    passes: true,
    why: 'it applies only in its class',
  },
  {
    call: call(1, 0.39, null),
    passes: true,
    why: 'calls without an organisation are not listed',
  },
];
for (const {call: example, passes, why} of cases) {
  test(`threshold table: ${why}`, t => {
    const table = new admission.SheddingThresholdTable();
    const threshold: admission.ShareThreshold = {
      importance: 1,
      rank: 0.4,
      organisations: {greedy: 0.1},
    };
    table.update('target', threshold, 0);
    t.is(table.passes('target', example, 999), passes);
    t.true(table.passes('other', example, 999));
    t.true(table.passes('target', example, 1_000), 'expires after 1 s');
  });
}

test('a null threshold ends the refusals of its target at once', t => {
  const table = new admission.SheddingThresholdTable();
  table.update('target', {importance: 0, rank: 0}, 0);
  table.update('target', null, 1);
  t.true(table.passes('target', call(3, 0.9), 1));
});

test('the table stays bounded when targets are replaced continuously', t => {
  const table = new admission.SheddingThresholdTable();
  for (let index = 0; index < 40_000; index++) {
    table.update(`target-${index}`, {importance: 1, rank: 0.5}, index / 100);
  }
  t.true(table.size <= 16_384);
  table.update('late', {importance: 1, rank: 0.5}, 5_000);
  t.is(table.size, 1, 'expired entries are dropped');
});

test('water filling uses the capacity and cuts only above the fair level', t => {
  // Guards against shedding an organisation that is within its share.
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          weight: fc.double({min: 0.1, max: 10, noNaN: true}),
          amount: fc.double({min: 0, max: 100, noNaN: true}),
        }),
        {minLength: 1, maxLength: 20},
      ),
      fc.double({min: 0, max: 500, noNaN: true}),
      (demands, capacity) => {
        const level = waterFill.fairShareLevel(demands, capacity);
        const total = demands.reduce((sum, one) => sum + one.amount, 0);
        if (level === Number.POSITIVE_INFINITY) return total <= capacity + 1e-6;
        const given = demands.reduce(
          (sum, one) => sum + Math.min(one.amount, level * one.weight),
          0,
        );
        return Math.abs(given - capacity) < 1e-6;
      },
    ),
    {seed: 2, numRuns: 500},
  );
  t.pass();
});
