import test from 'ava';
import * as clone from '../clone.js';
import * as modelState from '../model-state.js';
import * as mutations from '../mutations.js';
import * as searches from '../searches.js';
import * as settings from '../settings.js';

test('random walks violate no invariant and shards have owners', t => {
  const result = searches.runWalks(1, 15);
  t.is(result.violation, null, result.trace.join('; '));
  t.true(result.ownedShare > 0.3, `owned ${result.ownedShare}`);
});

test('a cloned state is independent and evolves in the same way', t => {
  const first = new modelState.ModelState({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT_FACTORY,
  });
  first.runWithoutFaults(mutations.SETTLING_STEPS);
  const second = clone.deepClone(first);
  const before = first.hash();
  t.is(second.hash(), before);
  second.step({kind: 'restart', host: 'a'});
  t.is(first.hash(), before);
  first.step({kind: 'restart', host: 'a'});
  t.is(first.hash(), second.hash());
});

// An exhaustive search terminates only if steady states recur.
test('a step without an action keeps the hash of a steady state', t => {
  const state = new modelState.ModelState({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT_FACTORY,
  });
  state.runWithoutFaults(mutations.SETTLING_STEPS);
  const before = state.hash();
  state.step({kind: 'none'});
  t.is(state.hash(), before);
});
