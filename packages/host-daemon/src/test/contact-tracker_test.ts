import test from 'ava';
import * as contactTracker from '../contact-tracker.js';
import * as suspendDetector from '../suspend-detector.js';

/** [time of the contact, how long its reporter had been in contact by then] */
type ContactRecord = readonly [contactMs: number, durationMs?: number];

/**
 * Guards against a contact duration that spans a gap, and against contacts
 * recorded out of order.
 */
const CASES: ReadonlyArray<
  readonly [string, readonly ContactRecord[], number]
> = [
  ['no contact', [], 0],
  ['continuous contact', [[7_000], [8_500], [10_000]], 3_000],
  ['a gap', [[1_000], [8_500], [10_000]], 1_500],
  ['the last contact is too old', [[5_500], [6_500]], 0],
  ['contacts of alternating peers', [[4_000], [6_500], [9_000]], 6_000],
  [
    'a gap too short for an entry to expire',
    [[4_500], [7_200], [9_900]],
    5_500,
  ],
  ['a peer was in contact for longer', [[9_500], [9_800, 6_800]], 7_000],
  [
    'a peer reports a contact within the gap late',
    [[6_500], [9_800], [8_000]],
    2_000,
  ],
  ['a peer was in contact before the gap', [[9_500], [3_000, 3_000]], 500],
  ['a peer without any contact', [[9_500], [-Infinity]], 500],
  ['contacts out of order', [[9_800], [8_500]], 1_500],
];
for (const [name, records, expectedMs] of CASES) {
  test(`duration of contact without a gap: ${name}`, t => {
    const contact = new contactTracker.ContactTracker({renewalMs: 1_500});
    for (const [contactMs, durationMs] of records) {
      contact.recordContact(contactMs, durationMs);
    }
    t.is(contact.durationMs(10_000), expectedMs);
  });
}

/** [monotonic, wall] */
const CLOCK_STEPS: ReadonlyArray<
  readonly [string, ReadonlyArray<readonly [number, number]>, number | null]
> = [
  [
    'a steady clock',
    [
      [0, 100],
      [500, 600],
    ],
    null,
  ],
  [
    'a small correction',
    [
      [0, 100],
      [500, 700],
    ],
    null,
  ],
  [
    'a suspended host',
    [
      [0, 100],
      [500, 5_600],
    ],
    5_000,
  ],
  [
    'a wall clock that steps back',
    [
      [0, 9_000],
      [500, 600],
    ],
    null,
  ],
  [
    'no step after a suspension',
    [
      [0, 100],
      [500, 5_600],
      [1_000, 6_100],
    ],
    null,
  ],
];
for (const [name, observations, expectedMs] of CLOCK_STEPS) {
  test(`detects uncounted time: ${name}`, t => {
    // Guards against treating state as recent after a host was suspended.
    const detector = new suspendDetector.SuspendDetector();
    const results = observations.map(([monotonicMs, wallMs]) =>
      detector.observe(monotonicMs, wallMs),
    );
    t.is(results.at(-1), expectedMs);
  });
}
