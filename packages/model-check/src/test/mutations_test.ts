import test from 'ava';
import * as mutations from '../mutations.js';
import * as settings from '../settings.js';

for (const [name, mutation] of Object.entries(mutations.MUTATIONS)) {
  test(`the invariants notice ${name}, and the product passes`, t => {
    const {factory, hosts, schedule, violates} = mutation;
    const found = mutations.runSchedule(factory, hosts, schedule);
    t.regex(found[0] ?? 'no violation', new RegExp(violates));
    t.deepEqual(mutations.runSchedule(settings.PRODUCT, hosts, schedule), []);
  });
}
