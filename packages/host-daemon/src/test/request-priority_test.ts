import test from 'ava';
import * as requestPriority from '../request-priority.js';

/** Priority of an organisation, null for none, and priority of a route. */
type PriorityPair = readonly [number | null, number];

/** The first request of each pair has the higher priority. */
const ORDER: ReadonlyArray<readonly [string, PriorityPair, PriorityPair]> = [
  ['the organisation takes precedence', [0, 2], [1, 0]],
  ['same organisation: by route', [1, 0], [1, 2]],
  ['organisations with the same priority: by route', [2, 1], [2, 3]],
  ['no organisation priority: that of the route is used', [null, 0], [1, 0]],
  ['routes without an organisation', [null, 0], [null, 2]],
  [
    'route priorities out of range do not override the organisation',
    [1, 40],
    [2, 0],
  ],
];
for (const [name, first, second] of ORDER) {
  // Guards against shedding important requests as often as less important ones
  // of organisations with the same priority (in sahab-hire all have 1).
  test(`order of priorities: ${name}`, t => {
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
  test(`priority ${priority} is preserved by encoding`, t => {
    const call = requestPriority.encodePriority(priority);
    t.true(call.rank >= 0 && call.rank < 1);
    t.is(requestPriority.decodePriority(call), priority);
  });
}
