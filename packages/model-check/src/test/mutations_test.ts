import test from 'ava';
import * as mutations from '../mutations.js';
import * as settings from '../settings.js';

for (const [name, mutation] of Object.entries(mutations.MUTATIONS)) {
  test(`mutation ${name} violates an invariant and the product does not`, t => {
    const {factory, hosts, schedule, expectedViolation} = mutation;
    const found = mutations.runSchedule(factory, hosts, schedule);
    t.regex(found[0] ?? 'no violation', new RegExp(expectedViolation));
    t.deepEqual(
      mutations.runSchedule(settings.PRODUCT_FACTORY, hosts, schedule),
      [],
    );
  });
}
