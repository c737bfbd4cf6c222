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

/** Guards against forgetting a host whose daemon outlives its list entry. */
interface UnlistedCase {
  /** Times of the reports of host-2, which leaves the list at 10 s. */
  readonly reportsMs: readonly number[];
  readonly atMs: number;
  readonly isMember: boolean;
}
const UNLISTED: Readonly<Record<string, UnlistedCase>> = {
  'that still reports': {
    reportsMs: [9_800, 10_300, 10_800],
    atMs: 11_500,
    isMember: true,
  },
  'that no longer reports': {
    reportsMs: [9_800],
    atMs: 11_500,
    isMember: false,
  },
  'that has never reported': {reportsMs: [], atMs: 10_000, isMember: false},
  'that reports again after a silence': {
    reportsMs: [9_800, 20_000],
    atMs: 20_500,
    isMember: true,
  },
};
for (const [name, {reportsMs, atMs, isMember}] of Object.entries(UNLISTED)) {
  test(`a host ${name} after it has left the list`, t => {
    const fleet = new members.FleetMembers(OWN);
    fleet.setListed(new Set([OWN, 'host-2', 'host-3']), 0);
    const events: Array<readonly [number, () => void]> = [
      [10_000, () => fleet.setListed(new Set([OWN, 'host-3']), 10_000)],
    ];
    for (const reportMs of reportsMs) {
      events.push([reportMs, () => fleet.noteReport('host-2', reportMs)]);
    }
    events.sort(([left], [right]) => left - right);
    for (const [, apply] of events) apply();
    fleet.removeSilentUnlisted(atMs);
    t.is(fleet.isMember('host-2'), isMember);
    t.is(fleet.unlistedHosts.has('host-2'), isMember);
    t.is(fleet.count, isMember ? 3 : 2);
    t.is(fleet.silentCount(atMs), 1, 'an unlisted host is not missed');
  });
}
