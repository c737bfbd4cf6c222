import test from 'ava';
import * as slotAdmission from '../slot-admission.js';

const REQUEST: slotAdmission.SlotRequest = {
  nested: false,
  priority: 1,
  deadlineMs: 2_000,
  objectiveMs: 1_000,
};

/** Ten slots, of which the admission uses nine. */
function full(): slotAdmission.SlotAdmission<string> {
  const admission = new slotAdmission.SlotAdmission<string>(10);
  for (let call = 0; call < admission.capacity; call++) {
    admission.offer(`running-${call}`, REQUEST, 0);
  }
  return admission;
}

test('calls start while slots are free', t => {
  const admission = full();
  t.is(admission.runningCount, 9);
  t.is(admission.offer('next', REQUEST, 0).kind, 'wait');
});

/** Guards against dropping important work and work of begun calls first. */
const ORDERS: ReadonlyArray<
  readonly [
    string,
    ReadonlyArray<readonly [string, Partial<slotAdmission.SlotRequest>]>,
    readonly string[],
  ]
> = [
  [
    'by priority',
    [
      ['low', {priority: 2}],
      ['high', {priority: 0}],
    ],
    ['high', 'low'],
  ],
  [
    'nested calls before new ones',
    [
      ['high', {priority: 0}],
      ['nested', {nested: true, priority: 2}],
    ],
    ['nested', 'high'],
  ],
  [
    'by arrival within a priority',
    [
      ['first', {}],
      ['second', {}],
    ],
    ['first', 'second'],
  ],
];
for (const [name, offers, expected] of ORDERS) {
  test(`waiting calls start ${name}`, t => {
    const admission = full();
    for (const [ticket, overrides] of offers) {
      admission.offer(ticket, {...REQUEST, ...overrides}, 0);
    }
    const started: string[] = [];
    for (let call = 0; call < offers.length; call++) {
      for (const event of admission.finish(50, true, 10)) {
        t.is(event.kind, 'start');
        started.push(event.ticket);
      }
    }
    t.deepEqual(started, [...expected]);
  });
}

/** Guards against holding a call that cannot be served in time. */
const REFUSALS: ReadonlyArray<
  readonly [string, Partial<slotAdmission.SlotRequest>, number, string]
> = [
  ['a call after its deadline', {deadlineMs: 0}, 0, 'deadlineExpired'],
  ['a call behind a long queue', {objectiveMs: 100}, 60, 'waitTooLong'],
];
for (const [name, overrides, queued, reason] of REFUSALS) {
  test(`refused at once: ${name}`, t => {
    const admission = full();
    for (let call = 0; call < queued; call++) {
      admission.offer(`queued-${call}`, {...REQUEST, priority: 0}, 0);
    }
    const verdict = admission.offer('late', {...REQUEST, ...overrides}, 0);
    t.is(verdict.kind, 'refuse');
    if (verdict.kind !== 'refuse') return;
    t.is(verdict.reason, reason as slotAdmission.SlotRefusal);
    t.true(verdict.retryAfterMs > 0);
  });
}

test('a waiting call is refused when its limit has passed', t => {
  const admission = full();
  admission.offer('waiting', REQUEST, 0);
  t.deepEqual(admission.advance(249), []);
  const [event] = admission.advance(250);
  t.is(event.kind, 'refuse');
  t.is(event.ticket, 'waiting');
  t.is(admission.queueLength, 0);
});

test('an abandoned call leaves the queue once', t => {
  const admission = full();
  admission.offer('waiting', REQUEST, 0);
  t.true(admission.abandon('waiting'));
  t.false(admission.abandon('waiting'));
  t.deepEqual(admission.finish(50, true, 1), []);
});
