import test from 'ava';
import * as responseValidator from '../response-validator.js';
import * as fixtures from './fleet-fixture.js';

const ID = ['X-Request', 'request-1'] as const;
const OTHER_ID = ['X-Request', 'request-0'] as const;
const NOT_RUN = ['X-Not-Run', '1'] as const;
const PROOF = ['X-Proof', 'proof'] as const;

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
  'another instance': [421, [ID], 'misdirected'],
  'another instance, for an earlier request': [421, [OTHER_ID], 'rejected'],
  'another instance, without a request id': [421, [], 'rejected'],
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
};
for (const [name, [status, headers, expected]] of Object.entries(CASES)) {
  test(`what a response proves: ${name}`, t => {
    const validator = new responseValidator.ResponseValidator(fixtures.BINDING);
    t.is(validator.validate('request-1', {status, headers}).kind, expected);
  });
}
