import test from 'ava';
import * as runTimes from '../run-times.js';

/**
 * Guards against requests that begin late in a stop because most of their route,
 * or the last ones, were shorter.
 */
const CASES: ReadonlyArray<
  readonly [string, readonly number[], readonly [number, number]]
> = [
  ['none yet', [], [500, 500]],
  ['one', [120], [120, 120]],
  ['a longer one among short ones', [50, 50, 900, 50, 50, 50], [700, 900]],
  ['a longer one long ago', [900, ...Array<number>(100).fill(50)], [50, 60]],
];
for (const [name, elapsedMs, [lowest, highest]] of CASES) {
  test(`the expected time of a route after requests: ${name}`, t => {
    const times = new runTimes.RunTimes();
    const route = {name: 'parts', objectiveMs: 500};
    times.note({name: 'other'}, 5_000);
    for (const milliseconds of elapsedMs) times.note(route, milliseconds);
    const expectedMs = times.expectedMs(route);
    t.true(expectedMs >= lowest && expectedMs <= highest, `${expectedMs}`);
  });
}
