import * as fc from 'fast-check';
import type * as protocol from '../index.js';
import * as outcomes from '../outcomes.js';

/** Text with names that are special on JavaScript objects. */
const text = fc.oneof(
  fc.string({unit: 'grapheme', maxLength: 40}),
  fc.constantFrom('__proto__', 'constructor', 'toString', ''),
);
const count = fc.oneof(fc.nat(300), fc.maxSafeNat());
const amount = fc.double({min: 0, noNaN: true, noDefaultInfinity: true});
const finite = fc.double({noNaN: true, noDefaultInfinity: true});
const bytes = fc.uint8Array({maxLength: 300});
const importance = fc.constantFrom(
  0 as const,
  1 as const,
  2 as const,
  3 as const,
);
const orNull = <T>(arbitrary: fc.Arbitrary<T>) => fc.option(arbitrary);
const rank = fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true});
const threshold = orNull(fc.record({importance, rank}));
const headers = fc.array(fc.tuple(text, text), {maxLength: 8});
const member = fc.record({hostId: text, incarnation: text});
const view = fc.record({
  identity: fc.record({number: count, proposer: text}),
  members: fc.array(member, {maxLength: 4}),
});
const kind = <K extends string>(name: K) => fc.constant(name);

const context = fc.record({
  requestId: text,
  organisation: orNull(text),
  importance,
  rank,
  remainingMs: finite,
  retries: count,
  depth: count,
  idempotent: fc.boolean(),
  idempotencyKey: orNull(text),
});
const trailer = {unspentRetries: count, threshold};

const request: fc.Arbitrary<protocol.ControlRequest> = fc.oneof(
  fc.record({
    kind: kind('viewPing'),
    cell: text,
    from: member,
    view: orNull(view),
    active: fc.boolean(),
  }),
  fc.record({
    kind: kind('grant'),
    organisation: text,
    holder: member,
    tokens: amount,
    spent: amount,
    sequence: count,
  }),
  fc.record({
    kind: kind('keyHandOver'),
    cell: text,
    coveredSinceMs: finite,
    records: fc.array(
      fc.record({
        organisation: text,
        idempotencyKey: text,
        payloadDigest: text,
        requestId: text,
        status: orNull(count),
      }),
      {maxLength: 3},
    ),
  }),
  fc.record({
    kind: kind('keySettle'),
    organisation: text,
    idempotencyKey: text,
    requestId: text,
    result: fc.oneof(
      fc.record({kind: kind('completed'), status: count}),
      fc.record({kind: kind('notRun')}),
      fc.record({kind: kind('unknown')}),
    ),
  }),
  fc.record({kind: kind('configurationPush'), revision: count, document: text}),
  fc.record({kind: kind('status')}),
);

const reply: fc.Arbitrary<protocol.ControlReply> = fc.oneof(
  fc.record({
    kind: kind('viewAnswer'),
    from: member,
    adopted: orNull(view),
    history: fc.array(view, {maxLength: 3}),
    active: fc.boolean(),
    leaving: fc.boolean(),
  }),
  fc.record({
    kind: kind('keyAnswer'),
    verdict: fc.oneof(
      fc.record({kind: kind('claimed')}),
      fc.record({kind: kind('completed'), status: count}),
    ),
  }),
  fc.record({
    kind: kind('cancelAnswer'),
    verdict: fc.constantFrom('neverStarts' as const, 'started' as const),
  }),
  fc.record({
    kind: kind('statusAnswer'),
    status: fc.dictionary(fc.stringMatching(/^[a-z]{1,8}$/), orNull(text)),
  }),
  fc.record({kind: kind('unsupported')}),
);

/** Frames of every kind. */
export const frame: fc.Arbitrary<protocol.Frame> = fc.oneof(
  fc.record({
    kind: kind('hello'),
    versionMinimum: count,
    versionMaximum: count,
    hostId: text,
    incarnation: text,
    service: text,
    availabilityZone: text,
  }),
  fc.record({kind: kind('heartbeat'), number: count, acknowledged: count}),
  fc.record({
    kind: kind('call'),
    call: count,
    attempt: count,
    service: text,
    method: text,
    path: text,
    headers,
    contentLength: orNull(count),
    hasBody: fc.boolean(),
    context,
    permission: fc.record({
      heartbeatNumber: count,
      elapsedMs: amount,
      remainingMs: finite,
    }),
  }),
  fc.record({
    kind: kind('callBody'),
    call: count,
    chunk: bytes,
    last: fc.boolean(),
    totalBytes: count,
  }),
  fc.record({kind: kind('callCredit'), call: count, bytes: count}),
  fc.record({
    kind: kind('answerHead'),
    call: count,
    attempt: count,
    status: fc.integer({min: 200, max: 999}),
    headers,
    contentLength: orNull(count),
  }),
  fc.record({kind: kind('answerBody'), call: count, chunk: bytes}),
  fc.record({
    kind: kind('answerEnd'),
    call: count,
    totalBytes: count,
    ...trailer,
  }),
  fc.record({
    kind: kind('refusal'),
    call: count,
    reason: fc.constantFrom(
      ...(Object.keys(outcomes.RefusalReason) as protocol.RefusalReasonName[]),
    ),
    final: fc.boolean(),
    ...trailer,
  }),
  fc.record({
    kind: kind('unknownOutcome'),
    call: count,
    reason: fc.constantFrom(
      ...(Object.keys(outcomes.UnknownReason) as protocol.UnknownReasonName[]),
    ),
    ...trailer,
  }),
  fc.record({kind: kind('cancel'), call: count}),
  fc.record({kind: kind('request'), request: count, body: request}),
  fc.record({kind: kind('reply'), request: count, body: reply}),
);
