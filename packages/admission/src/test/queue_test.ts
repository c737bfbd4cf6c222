import test from 'ava';
import * as fc from 'fast-check';
import * as runtime from '@camphorwharf/runtime';
import * as callTicket from '../call-ticket.js';
import * as fairQueue from '../fair-queue.js';
import * as importanceQueue from '../importance-queue.js';
import * as heap from '../indexed-heap.js';

let sequence = 0;
function ticket(
  organisation: string,
  importance: 0 | 1 | 2 | 3,
  rank: number,
  weight = 1,
): callTicket.CallTicket {
  return new callTicket.CallTicket(
    {
      requestId: `request-${sequence}`,
      organisation,
      weight,
      importance,
      rank,
      deadlineMs: 1_000,
    },
    0,
    sequence++,
  );
}

test('a heap with removals pops in order', t => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.integer({min: 0, max: 50}), fc.boolean())),
      entries => {
        const items = entries.map(([key, kept]) => ({key, kept}));
        const queue = new heap.IndexedHeap<{key: number; kept: boolean}>(
          (first, second) => first.key < second.key,
        );
        for (const entry of items) queue.put(entry);
        for (const entry of items) if (!entry.kept) queue.remove(entry);
        const popped: number[] = [];
        for (let next = queue.pop(); next; next = queue.pop()) {
          popped.push(next.key);
        }
        const expected = items.filter(entry => entry.kept).map(one => one.key);
        expected.sort((first, second) => first - second);
        return popped.join() === expected.join();
      },
    ),
    {seed: 3, numRuns: 300},
  );
  t.pass();
});

test('no class is served or evicted out of order', t => {
  // Guards against losing an important call while a less important one is
  // queued (I2).
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          fc.constantFrom('a', 'b', 'c'),
          fc.constantFrom(0 as const, 1 as const, 2 as const, 3 as const),
          fc.double({min: 0, max: 0.999, noNaN: true}),
        ),
        {maxLength: 60},
      ),
      fc.boolean(),
      (calls, shed) => {
        const queue = new importanceQueue.ImportanceQueue();
        for (const [name, importance, rank] of calls) {
          queue.push(ticket(name, importance, rank));
        }
        const order: number[] = [];
        while (queue.size > 0) {
          const next = shed ? queue.evict() : queue.pop();
          order.push(next!.call.importance);
        }
        const sorted = [...order].sort((first, second) =>
          shed ? second - first : first - second,
        );
        return order.length === calls.length && order.join() === sorted.join();
      },
    ),
    {seed: 4, numRuns: 300},
  );
  t.pass();
});

const shareCases = [
  {weights: {small: 1, large: 4}, flood: 'small', seed: 5},
  {weights: {small: 1, large: 4}, flood: 'large', seed: 6},
  {weights: {a: 1, b: 1, c: 2}, flood: 'a', seed: 7},
];
for (const {weights, flood, seed} of shareCases) {
  test(`shares follow the weights while ${flood} floods, seed ${seed}`, t => {
    // Guards against an organisation that gains service by sending more.
    const random = new runtime.SeededRandom(seed);
    const queue = new importanceQueue.ImportanceQueue();
    const names = Object.keys(weights) as Array<keyof typeof weights>;
    const served = new Map<string, number>();
    for (let round = 0; round < 4_000; round++) {
      for (const name of names) {
        const copies = name === flood ? 10 : 1;
        for (let copy = 0; copy < copies; copy++) {
          queue.push(ticket(name, 2, random.next(), weights[name]));
        }
      }
      while (queue.size > 64) queue.evict();
      const next = queue.pop()!;
      served.set(
        next.call.organisation!,
        (served.get(next.call.organisation!) ?? 0) + 1,
      );
    }
    const total = names.reduce((sum, name) => sum + weights[name]!, 0);
    for (const name of names) {
      const part = (served.get(name) ?? 0) / 4_000;
      const fair = weights[name]! / total;
      t.true(Math.abs(part - fair) < 0.05, `${name}: ${part} of ${fair}`);
    }
  });
}

test('within one organisation the lowest rank is served and the highest evicted', t => {
  const queue = new importanceQueue.ImportanceQueue();
  for (const rank of [0.5, 0.1, 0.9]) queue.push(ticket('a', 1, rank));
  t.is(queue.evict()?.call.rank, 0.9);
  t.is(queue.pop()?.call.rank, 0.1);
});

test('short-lived organisations do not fill the table', t => {
  const queue = new fairQueue.FairQueue();
  for (let index = 0; index < 5_000; index++) {
    queue.push(ticket(`organisation-${index}`, 0, 0.5));
    queue.pop();
  }
  t.true(queue.flowCount <= 513, `${queue.flowCount} organisations`);
});
