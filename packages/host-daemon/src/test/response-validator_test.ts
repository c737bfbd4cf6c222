import test from 'ava';
import * as responseValidator from '../response-validator.js';
import * as fixtures from './fleet-fixture.js';

const CALL = {requestId: 'request-1', instance: 'instance-1'};
const ID = ['X-Request', 'request-1'] as const;
const OTHER_ID = ['X-Request', 'request-0'] as const;
const NOT_RUN = ['X-Not-Run', '1'] as const;
const PROOF = ['X-Proof', 'proof'] as const;
const INSTANCE = ['X-Own-Instance', 'instance-1'] as const;
const OTHER_INSTANCE = ['X-Own-Instance', 'instance-2'] as const;

type Case = readonly [
  status: number,
  headers: ReadonlyArray<readonly [string, string]>,
  expected: responseValidator.ValidationResult['kind'],
];

/**
 * Guards against telling clients that a request has not run when it has run or
 * is running, and against running it twice (rules REFUSED and TWICE): a faulty
 * server repeats an earlier refusal on a reused connection, or refuses without
 * stating that the request has not run.
 */
const CASES: Readonly<Record<string, Case>> = {
  'a refusal of this request': [503, [ID, NOT_RUN], 'refused'],
  'a refusal of an earlier request': [503, [OTHER_ID, NOT_RUN], 'rejected'],
  'a refusal without a request id': [503, [NOT_RUN], 'rejected'],
  'another instance, not run': [421, [ID, NOT_RUN], 'misdirected'],
  'another instance, by its own id': [421, [ID, OTHER_INSTANCE], 'misdirected'],
  'another instance, for an earlier request': [
    421,
    [OTHER_ID, NOT_RUN, OTHER_INSTANCE],
    'rejected',
  ],
  'another instance, without a request id': [
    421,
    [NOT_RUN, OTHER_INSTANCE],
    'rejected',
  ],
  '503 without confirmation of not running': [503, [ID, PROOF], 'rejected'],
  '429 without confirmation of not running': [429, [ID, PROOF], 'rejected'],
  '408 without confirmation of not running': [408, [ID, PROOF], 'rejected'],
  'a success': [200, [ID, PROOF], 'complete'],
  'a success for an earlier request': [200, [OTHER_ID, PROOF], 'rejected'],
  'a success continued by one for an earlier request': [
    200,
    [ID, PROOF, OTHER_ID, PROOF],
    'rejected',
  ],
  'a refusal continued by one for an earlier request': [
    503,
    [ID, OTHER_ID, NOT_RUN],
    'rejected',
  ],
  'a success that names its request twice': [200, [ID, ID, PROOF], 'complete'],
  'a success without a request id': [200, [PROOF], 'rejected'],
  'a success without proof': [200, [ID], 'rejected'],
  'an encoded success': [
    200,
    [ID, PROOF, ['Content-Encoding', 'gzip']],
    'rejected',
  ],
  'a failure': [500, [ID, PROOF], 'complete'],
  'a failure without proof': [500, [ID], 'complete'],
  'a success behind a proxy with an address': [
    200,
    [ID, PROOF, ['Via', 'HTTP/1.1 192.168.0.1:8080']],
    'complete',
  ],
  'a success of the instance asked': [200, [ID, PROOF, INSTANCE], 'complete'],
  'a refusal by the instance asked': [503, [ID, NOT_RUN, INSTANCE], 'refused'],
  'a refusal with status 400': [400, [ID, NOT_RUN], 'refused'],
  'a refusal with status 408': [408, [ID, NOT_RUN], 'refused'],
  'a refusal with status 429': [429, [ID, NOT_RUN], 'refused'],
};
for (const [name, [status, headers, expected]] of Object.entries(CASES)) {
  test(`what a response proves: ${name}`, t => {
    t.is(validate(status, headers).kind, expected);
  });
}

/**
 * Guards against taking a head that says two things as a proof of either (issue
 * 33): a server breaks off a response within its head, and the next response on
 * the connection continues it.
 */
const CONTRADICTIONS: Readonly<
  Record<string, readonly [number, ReadonlyArray<readonly [string, string]>]>
> = {
  'a refusal with a proof': [503, [ID, NOT_RUN, PROOF]],
  'a refusal that names its request twice': [503, [ID, NOT_RUN, ID]],
  'a refusal that says twice that it has not run': [
    503,
    [ID, NOT_RUN, NOT_RUN],
  ],
  'a refusal whose field is out of its form': [503, [ID, ['X-Not-Run', '']]],
  'a refusal whose field is broken off': [
    503,
    [['X-Not-Run', 'HTTP/1.1 500 Internal Server Error'], ID],
  ],
  'a refusal whose other field is broken off': [
    503,
    [ID, NOT_RUN, ['Date', 'Sun, 06 HTTP/1.1 500 Internal Server Error']],
  ],
  'a refusal by another instance': [503, [ID, NOT_RUN, OTHER_INSTANCE]],
  'a refusal by two instances': [503, [ID, NOT_RUN, INSTANCE, OTHER_INSTANCE]],
  'a success that has not run': [200, [ID, PROOF, NOT_RUN]],
  'a success without proof that has not run': [200, [ID, NOT_RUN]],
  'a failure that has not run': [500, [ID, NOT_RUN]],
  'a failure at the deadline that has not run': [504, [ID, NOT_RUN]],
  'a failure with proof that has not run': [500, [ID, PROOF, NOT_RUN]],
  'a success with two proofs': [200, [ID, PROOF, ['X-Proof', 'other']]],
  'a success with the same proof twice': [200, [ID, PROOF, PROOF]],
  'a failure with two proofs': [500, [ID, PROOF, ['X-Proof', 'other']]],
  'a success whose proof holds another head': [
    200,
    [['X-Proof', 'prHTTP/1.1 500 Internal Server Error'], ID],
  ],
  'a failure whose field holds another head': [
    500,
    [['Date', 'SunHTTP/1.1 200 OK'], ID, PROOF],
  ],
  'a success of another instance': [200, [ID, PROOF, OTHER_INSTANCE]],
  'another instance with a proof': [421, [ID, NOT_RUN, PROOF]],
  'another instance, by its own id, with a proof': [
    421,
    [ID, OTHER_INSTANCE, PROOF],
  ],
  'another instance that names the one asked': [421, [ID, INSTANCE]],
  'another instance, not run, that names the one asked': [
    421,
    [ID, NOT_RUN, INSTANCE],
  ],
  'another instance that names two': [
    421,
    [ID, NOT_RUN, OTHER_INSTANCE, ['X-Own-Instance', 'instance-3']],
  ],
  'another instance that names its request twice': [421, [ID, NOT_RUN, ID]],
  'another instance whose field is out of its form': [
    421,
    [ID, ['X-Not-Run', 'no']],
  ],
  'another instance whose field is broken off': [
    421,
    [['X-Not-Run', 'HTTP/1.1 200 OK'], ID],
  ],
};
for (const [name, [status, headers]] of Object.entries(CONTRADICTIONS)) {
  test(`a response that contradicts itself: ${name}`, t => {
    t.deepEqual(validate(status, headers), {
      kind: 'rejected',
      cause: 'contradictory',
    });
  });
}

/**
 * Guards against taking a status alone as a proof: nothing else says that the
 * request has not run.
 */
const UNCONFIRMED: ReadonlyArray<
  readonly [string, number, ReadonlyArray<readonly [string, string]>]
> = [
  ['another instance', 421, [ID]],
  ['another instance with a proof', 421, [ID, PROOF]],
  ['a full server', 503, [ID]],
];
for (const [name, status, headers] of UNCONFIRMED) {
  test(`a refusal that nothing confirms: ${name}`, t => {
    t.deepEqual(validate(status, headers), {
      kind: 'rejected',
      cause: 'unprovenRefusal',
    });
  });
}

/**
 * Guards against taking a refusal as a proof whose body is continued by the next
 * response.
 */
for (const status of [421, 503]) {
  test(`a refusal with status ${status} whose body holds another head`, t => {
    const body = 'fulHTTP/1.1 200 OK\r\nX-Proof: proof\r\n';
    t.deepEqual(validate(status, [ID, NOT_RUN], body), {
      kind: 'rejected',
      cause: 'contradictory',
    });
  });
}

/**
 * Guards against taking a refusal as a proof that is followed by another
 * response, which may be that of this request.
 */
for (const status of [421, 503]) {
  test(`a refusal with status ${status} before trailing bytes`, t => {
    t.deepEqual(validate(status, [ID, NOT_RUN], 'full', true), {
      kind: 'rejected',
      cause: 'contradictory',
    });
  });
}

/** Guards against withholding successes for what belongs to no request. */
test('a success may hold any body and be followed by any bytes', t => {
  const result = validate(200, [ID, PROOF], 'HTTP/1.1 200 OK\r\n', true);
  t.is(result.kind, 'complete');
});

test('a refusal of a request without an id proves nothing', t => {
  // Guards against a refusal that nothing ties to the request.
  const call = {...CALL, requestId: ''};
  t.is(validate(503, [NOT_RUN], 'full', false, call).kind, 'rejected');
});

function validate(
  status: number,
  headers: ReadonlyArray<readonly [string, string]>,
  text = 'full',
  hasTrailingBytes = false,
  call: responseValidator.AskedCall = CALL,
): responseValidator.ValidationResult {
  const validator = new responseValidator.ResponseValidator(fixtures.BINDING);
  const body = Buffer.from(text);
  return validator.validate(call, {status, headers, body, hasTrailingBytes});
}
