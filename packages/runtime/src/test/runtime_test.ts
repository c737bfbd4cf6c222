import test from 'ava';
import * as runtime from '../index.js';

const rendezvousCases = [
  {removed: 'host-a', seed: 1},
  {removed: 'host-c', seed: 2},
];
for (const {removed, seed} of rendezvousCases) {
  test(`rendezvousOrder: removing ${removed} reassigns only the keys that ranked it first`, t => {
    const hosts = ['host-a', 'host-b', 'host-c', 'host-d'];
    const random = new runtime.SeededRandom(seed);
    const identify = (host: string) => host;
    for (let index = 0; index < 200; index++) {
      const key = runtime.randomIdentifier(random, 4);
      const before = runtime.rendezvousOrder(key, hosts, identify)[0];
      const rest = hosts.filter(host => host !== removed);
      const after = runtime.rendezvousOrder(key, rest, identify)[0];
      if (before !== removed) t.is(after, before);
      else t.not(after, removed);
    }
  });
}

test('ManualClock: advance completes delays in due order up to the end time', async t => {
  const clock = new runtime.ManualClock();
  const completed: string[] = [];
  for (const [name, dueMs] of [
    ['late', 30],
    ['early', 10],
    ['never', 31],
  ] as const) {
    void clock
      .delay(dueMs)
      .then(() => completed.push(`${name}@${clock.monotonicMs()}`));
  }
  await clock.advance(30);
  t.deepEqual(completed, ['early@10', 'late@30']);
});

test('ManualClock: an aborted delay resolves without advancing time', async t => {
  const clock = new runtime.ManualClock();
  const controller = new AbortController();
  const delay = clock.delay(1_000, controller.signal);
  controller.abort();
  await delay;
  t.is(clock.monotonicMs(), 0);
});
