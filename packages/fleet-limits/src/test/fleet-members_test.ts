import test from 'ava';
import * as members from '../fleet-members.js';

const OWN = 'host-1';

/** Guards against hosts that are not told of each other's use when they join. */
const LISTS: ReadonlyArray<
  readonly [string, ReadonlyArray<readonly string[]>, readonly string[]]
> = [
  ['the first list', [[OWN, 'host-2', 'host-3']], ['host-2', 'host-3']],
  [
    'the same list again',
    [
      [OWN, 'host-2'],
      [OWN, 'host-2'],
    ],
    [],
  ],
  [
    'a host that joins',
    [
      [OWN, 'host-2'],
      [OWN, 'host-2', 'host-3'],
    ],
    ['host-3'],
  ],
  [
    'a host that leaves',
    [
      [OWN, 'host-2', 'host-3'],
      [OWN, 'host-2'],
    ],
    [],
  ],
  [
    'a host that returns',
    [[OWN, 'host-2'], [OWN], [OWN, 'host-2']],
    ['host-2'],
  ],
];
for (const [name, lists, expected] of LISTS) {
  test(`hosts that were not listed before: ${name}`, t => {
    const fleet = new members.FleetMembers(OWN);
    const added = lists.map((hosts, index) =>
      fleet.setListed(new Set(hosts), index * 1_000),
    );
    t.deepEqual(added.at(-1), expected);
  });
}

/** Guards against hosts of a large fleet that count as silent in turn. */
const INTERVALS: ReadonlyArray<readonly [number, number, boolean]> = [
  [14, 1_100, false],
  [14, 1_200, true],
  [195, 1_200, false],
  [195, 2_000, false],
  [195, 2_200, true],
];
for (const [count, silentMs, expected] of INTERVALS) {
  test(`a host of ${count} without a report for ${silentMs} ms`, t => {
    const fleet = new members.FleetMembers(OWN);
    const hosts = Array.from(
      {length: count},
      (_, index) => `host-${index + 1}`,
    );
    fleet.setListed(new Set(hosts), 0);
    fleet.noteReport('host-2', 10_000);
    t.is(fleet.isSilent('host-2', 10_000 + silentMs), expected);
  });
}
