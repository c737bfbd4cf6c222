import * as fc from 'fast-check';
import type * as protocol from '../index.js';
import * as outcomes from '../outcomes.js';

/** Strings, including names with special meaning on JavaScript objects. */
const string = fc.oneof(
  fc.string({unit: 'grapheme', maxLength: 40}),
  fc.constantFrom('__proto__', 'constructor', 'toString', ''),
);
const uint = fc.oneof(fc.nat(300), fc.maxSafeNat());
const nonNegative = fc.double({min: 0, noNaN: true, noDefaultInfinity: true});
const finiteNumber = fc.double({noNaN: true, noDefaultInfinity: true});
const bytes = fc.uint8Array({maxLength: 300});
const importance = fc.constantFrom(
  0 as const,
  1 as const,
  2 as const,
  3 as const,
);
const nullable = <T>(arbitrary: fc.Arbitrary<T>) => fc.option(arbitrary);
const rank = fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true});
const threshold = nullable(fc.record({importance, rank}));
const headers = fc.array(fc.tuple(string, string), {maxLength: 8});
const member = fc.record({hostId: string, incarnation: string});
const view = fc.record({
  identity: fc.record({number: uint, proposer: string}),
  members: fc.array(member, {maxLength: 4}),
});
const literal = <K extends string>(name: K) => fc.constant(name);

const context = fc.record({
  requestId: string,
  organisation: nullable(string),
  importance,
  rank,
  remainingMs: finiteNumber,
  retries: uint,
  depth: uint,
  idempotent: fc.boolean(),
  idempotencyKey: nullable(string),
});
const outcomeFields = {unspentRetries: uint, threshold};

const request: fc.Arbitrary<protocol.ControlRequest> = fc.oneof(
  fc.record({
    kind: literal('viewPing'),
    cell: string,
    from: member,
    view: nullable(view),
    active: fc.boolean(),
  }),
  fc.record({
    kind: literal('grant'),
    organisation: string,
    holder: member,
    tokens: nonNegative,
    spent: nonNegative,
    sequence: uint,
  }),
  fc.record({
    kind: literal('keyHandOver'),
    cell: string,
    coveredSinceMs: finiteNumber,
    records: fc.array(
      fc.record({
        organisation: string,
        idempotencyKey: string,
        payloadDigest: string,
        requestId: string,
        status: nullable(uint),
      }),
      {maxLength: 3},
    ),
  }),
  fc.record({
    kind: literal('keySettle'),
    organisation: string,
    idempotencyKey: string,
    requestId: string,
    result: fc.oneof(
      fc.record({kind: literal('completed'), status: uint}),
      fc.record({kind: literal('notRun')}),
      fc.record({kind: literal('unknown')}),
    ),
  }),
  fc.record({
    kind: literal('configurationPush'),
    revision: uint,
    document: string,
  }),
  fc.record(
    {
      kind: literal('cancelIfNotStarted'),
      requestId: string,
      attempt: uint,
      incarnation: string,
      sentAfterMs: uint,
    },
    {requiredKeys: ['kind', 'requestId', 'attempt', 'incarnation']},
  ),
  fc.record({kind: literal('status')}),
);

const reply: fc.Arbitrary<protocol.ControlReply> = fc.oneof(
  fc.record({
    kind: literal('viewAnswer'),
    from: member,
    adopted: nullable(view),
    history: fc.array(view, {maxLength: 3}),
    active: fc.boolean(),
    leaving: fc.boolean(),
  }),
  fc.record({
    kind: literal('keyAnswer'),
    verdict: fc.oneof(
      fc.record({kind: literal('claimed')}),
      fc.record({kind: literal('completed'), status: uint}),
    ),
  }),
  fc.record({
    kind: literal('cancelAnswer'),
    verdict: fc.constantFrom(
      'neverStarts' as const,
      'started' as const,
      'unknown' as const,
    ),
  }),
  fc.record({
    kind: literal('statusAnswer'),
    status: fc.dictionary(fc.stringMatching(/^[a-z]{1,8}$/), nullable(string)),
  }),
  fc.record({kind: literal('unsupported')}),
);

/** Frames of all kinds except `wholeAnswer` and `report`. */
export const frame: fc.Arbitrary<protocol.Frame> = fc.oneof(
  fc.record(
    {
      kind: literal('hello'),
      versionMinimum: uint,
      versionMaximum: uint,
      hostId: string,
      incarnation: string,
      service: string,
      availabilityZone: string,
      clockMs: uint,
    },
    {
      requiredKeys: [
        'kind',
        'versionMinimum',
        'versionMaximum',
        'hostId',
        'incarnation',
        'service',
        'availabilityZone',
      ],
    },
  ),
  fc.record(
    {
      kind: literal('heartbeat'),
      number: uint,
      acknowledged: uint,
      clockMs: uint,
    },
    {requiredKeys: ['kind', 'number', 'acknowledged']},
  ),
  fc.record({
    kind: literal('call'),
    call: uint,
    attempt: uint,
    service: string,
    method: string,
    path: string,
    headers,
    contentLength: nullable(uint),
    hasBody: fc.boolean(),
    context,
    permission: fc.record({
      heartbeatNumber: uint,
      elapsedMs: nonNegative,
      remainingMs: finiteNumber,
    }),
  }),
  fc.record({
    kind: literal('callBody'),
    call: uint,
    chunk: bytes,
    last: fc.boolean(),
    totalBytes: uint,
  }),
  fc.record({kind: literal('callCredit'), call: uint, bytes: uint}),
  fc.record({
    kind: literal('answerHead'),
    call: uint,
    attempt: uint,
    status: fc.integer({min: 200, max: 999}),
    headers,
    contentLength: nullable(uint),
  }),
  fc.record({kind: literal('answerBody'), call: uint, chunk: bytes}),
  fc.record({
    kind: literal('answerEnd'),
    call: uint,
    totalBytes: uint,
    ...outcomeFields,
  }),
  fc.record({
    kind: literal('refusal'),
    call: uint,
    reason: fc.constantFrom(
      ...(Object.keys(outcomes.RefusalReason) as protocol.RefusalReasonName[]),
    ),
    final: fc.boolean(),
    ...outcomeFields,
  }),
  fc.record({
    kind: literal('unknownOutcome'),
    call: uint,
    reason: fc.constantFrom(
      ...(Object.keys(outcomes.UnknownReason) as protocol.UnknownReasonName[]),
    ),
    ...outcomeFields,
  }),
  fc.record({kind: literal('cancel'), call: uint}),
  fc.record({kind: literal('request'), request: uint, body: request}),
  fc.record({kind: literal('reply'), request: uint, body: reply}),
);
