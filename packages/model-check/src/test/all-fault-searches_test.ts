import test from 'ava';
import * as searches from '../searches.js';

const CI_DEPTH = 12;

for (const search of searches.exhaustiveSearches(CI_DEPTH).slice(0, 2)) {
  test(`exhaustive search: ${search.name}`, t => {
    const result = searches.runSearch(search);
    t.is(result.violation, null, result.trace.join('; '));
    t.true(result.isComplete);
    t.log(`${result.states} states to depth ${search.options.depth}`);
  });
}
