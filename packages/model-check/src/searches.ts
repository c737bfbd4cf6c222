import * as explorer from './explorer.js';
import * as modelState from './model-state.js';
import * as mutations from './mutations.js';
import * as randomWalks from './random-walks.js';
import * as settings from './settings.js';

export interface Search {
  readonly name: string;
  readonly options: explorer.ExploreOptions;
}

/**
 * Returns the exhaustive searches. Each starts from three daemons that act
 * under their first view, with one bucket, one key and two revisions. Pairs of
 * arbitrary faults are searched to a small depth, related faults to a greater
 * one.
 */
export function exhaustiveSearches(depth: number): Search[] {
  return [
    {
      name: 'two faults of any kind',
      options: {depth: Math.min(depth, 5), faults: 2, calls: 0},
    },
    {
      name: 'one fault of any kind and one call',
      options: {depth, faults: 1, calls: 1},
    },
    {
      name: 'two changes of membership or contact',
      options: {
        depth,
        faults: 2,
        calls: 0,
        kinds: new Set(['partition', 'restart', 'unlist']),
      },
    },
    {
      name: 'owner restart and two sends of one key',
      options: {depth, faults: 1, calls: 2, kinds: new Set(['restart'])},
    },
    {
      name: 'demand with a leaving, restarted or replaced daemon',
      options: {
        depth,
        faults: 2,
        calls: 0,
        kinds: new Set(['demand', 'leave', 'restart', 'replace']),
      },
    },
  ];
}

/** Runs one exhaustive search on the product. */
export function runSearch(search: Search): explorer.ExploreResult {
  const initialState = new modelState.ModelState({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT_FACTORY,
  });
  initialState.runWithoutFaults(mutations.SETTLING_STEPS);
  // The platform offers revision 2, and revision 1 while it is stale.
  initialState.step({kind: 'publish'});
  return new explorer.Explorer(search.options).explore(initialState);
}

/** Runs random walks on the product. */
export function runWalks(seed: number, count: number): randomWalks.WalkResult {
  return randomWalks.runRandomWalks({
    factory: settings.PRODUCT_FACTORY,
    seed,
    walks: count,
    steps: 160,
  });
}
