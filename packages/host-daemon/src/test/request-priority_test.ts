import test from 'ava';
import * as requestPriority from '../request-priority.js';

/** Priorities of an organisation, null for none, and of a route. */
type PriorityPair = readonly [number | null, number];

/** The first request of each pair is the more important one. */
const ORDER: ReadonlyArray<readonly [string, PriorityPair, PriorityPair]> = [
  ['the organisation decides', [0, 2], [1, 0]],
  ['one organisation: the route decides', [1, 0], [1, 2]],
  ['equal organisations: the route decides', [2, 1], [2, 3]],
  ['without one the route stands in', [null, 0], [1, 0]],
  ['routes of no organisation', [null, 0], [null, 2]],
  ['routes beyond the levels keep the organisation', [1, 40], [2, 0]],
];
for (const [name, first, second] of ORDER) {
  // Guards against important work that is shed with less important work of
  // organisations of the same priority (sahab-hire: all of them have 1).
  test(`the more important request: ${name}`, t => {
    const [higher, lower] = [first, second].map(([organisation, route]) =>
      requestPriority.requestPriority(
        organisation === null ? null : {priority: organisation},
        {priority: route},
      ),
    );
    t.true(higher < lower, `${higher} ${lower}`);
  });
}

for (const priority of [0, 1, 7, 8, 13, 31]) {
  test(`priority ${priority} is the same at the target`, t => {
    const call = requestPriority.encodePriority(priority);
    t.true(call.rank >= 0 && call.rank < 1);
    t.is(requestPriority.decodePriority(call), priority);
  });
}
