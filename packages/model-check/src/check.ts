import * as explorer from './explorer.js';
import * as mutations from './mutations.js';
import * as settings from './settings.js';
import * as walks from './walks.js';
import * as world from './world.js';

export interface Search {
  readonly name: string;
  readonly options: explorer.ExploreOptions;
}

/**
 * The exhaustive searches. Each starts from three daemons that act under
 * their first view, with one bucket, one key and two revisions. All kinds of
 * fault are combined at a small depth, and related kinds at a greater one.
 */
export function searches(depth: number): Search[] {
  return [
    {
      name: 'two faults of any kind and one call',
      options: {depth: Math.min(depth, 3), faults: 2, calls: 1},
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
  const start = new world.World({
    hosts: ['a', 'b', 'c'],
    factory: settings.PRODUCT,
  });
  start.settle(mutations.SETTLING_STEPS);
  // Revision 2 is offered from the start, and a stale platform offers 1.
  start.step({kind: 'publish'});
  return new explorer.Explorer(search.options).explore(start);
}

/** Runs random walks on the product. */
export function runWalks(seed: number, count: number): walks.WalkResult {
  return walks.walk({
    factory: settings.PRODUCT,
    seed,
    walks: count,
    steps: 160,
  });
}
