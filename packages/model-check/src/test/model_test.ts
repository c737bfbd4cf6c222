import test from 'ava';
import * as check from '../check.js';
import * as clone from '../clone.js';
import * as mutations from '../mutations.js';
import * as settings from '../settings.js';
import * as world from '../world.js';

const CI_DEPTH = 9;

for (const search of check.searches(CI_DEPTH)) {
  test(`exhaustive search: ${search.name}`, t => {
    const result = check.runSearch(search);
    t.is(result.violation, null, result.trace.join('; '));
    t.true(result.isComplete);
    t.log(`${result.states} states to depth ${search.options.depth}`);
  });
}

test('random walks violate nothing and keep shards owned', t => {
  const result = check.runWalks(1, 15);
  t.is(result.violation, null, result.trace.join('; '));
  t.true(result.ownedShare > 0.3, `owned ${result.ownedShare}`);
});

test('a copied state is independent and has the same future', t => {
  const first = new world.World({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT,
  });
  first.settle(mutations.SETTLING_STEPS);
  const second = clone.deepClone(first);
  const before = first.hash();
  t.is(second.hash(), before);
  second.step({kind: 'restart', host: 'a'});
  t.is(first.hash(), before);
  first.step({kind: 'restart', host: 'a'});
  t.is(first.hash(), second.hash());
});

test('a settled state repeats, so that the search can be exhaustive', t => {
  const state = new world.World({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT,
  });
  state.settle(mutations.SETTLING_STEPS);
  const before = state.hash();
  state.step({kind: 'none'});
  t.is(state.hash(), before);
});
