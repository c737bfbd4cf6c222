import test from 'ava';
import * as platformReading from '../platform-reading.js';
import * as readerSelection from '../reader-selection.js';

const MEMBER: readerSelection.DistributionRole = {
  isReader: false,
  downstream: new Set(),
  upstream: new Set(['10.0.0.2']),
};
const READER = {...MEMBER, isReader: true};

/**
 * Guards against hosts that stay in the past when their readers are frozen or
 * cut off, and against calls to the platform that are not needed.
 */
const CASES: ReadonlyArray<
  readonly [
    string,
    readerSelection.DistributionRole,
    platformReading.ContactAges,
    platformReading.ReadModeName,
  ]
> = [
  ['a reader', READER, {ownMs: 100, peersMs: 100}, 'reader'],
  ['a refused reader', READER, {ownMs: 9_000, peersMs: 100}, 'reader'],
  ['a start', MEMBER, {ownMs: Infinity, peersMs: Infinity}, 'fallback'],
  ['after its first read', MEMBER, {ownMs: 10, peersMs: Infinity}, 'peers'],
  ['informed by peers', MEMBER, {ownMs: 60_000, peersMs: 900}, 'peers'],
  ['silent peers', MEMBER, {ownMs: 60_000, peersMs: 1_400}, 'fallback'],
  ['silent peers, own read', MEMBER, {ownMs: 50, peersMs: 9_000}, 'peers'],
  [
    'silent peers, own read before',
    MEMBER,
    {ownMs: 1_350, peersMs: 9_000},
    'fallback',
  ],
];
for (const [name, role, ages, expected] of CASES) {
  test(`how a host reads published state: ${name}`, t => {
    t.is(platformReading.readMode(role, ages, 14, 2_000), expected);
  });
}

/** Guards against a fleet that uses up the read rate when its readers fail. */
const FLEETS: ReadonlyArray<readonly [number, number, number]> = [
  [14, 2_000, 1_300],
  [195, 16_000, 1_300],
  [1_000, 2_000, 2_000],
  [11_000, 2_000, 22_000],
];
for (const [hosts, readsPerSecond, expectedMs] of FLEETS) {
  test(`interval of reads without readers among ${hosts} hosts`, t => {
    t.is(platformReading.staleAfterMs(hosts, readsPerSecond), expectedMs);
  });
}
