import test from 'ava';
import * as responseValidator from '../response-validator.js';
import * as fixtures from './fleet-fixture.js';
import * as joinedHeads from './joined-heads.js';

const CALL = {requestId: 'request-1', instance: 'instance-1'};
const ID = ['X-Request', 'request-1'] as const;
const PROOF = ['X-Proof', 'proof'] as const;
const NOT_RUN = ['X-Not-Run', '1'] as const;
const INSTANCE = ['X-Own-Instance', 'instance-1'] as const;
const OTHER_INSTANCE = ['X-Own-Instance', 'instance-2'] as const;
const DATE = ['Date', 'Sun, 06 Dec 2026 15:00:00 GMT'] as const;

/** Status lines and fields of responses that say that a request has not run. */
const REFUSALS: Readonly<
  Record<string, ReadonlyArray<readonly [string, string]>>
> = {
  'HTTP/1.1 503 Service Unavailable': [NOT_RUN, INSTANCE, DATE],
  'HTTP/1.1 429 Too Many Requests': [DATE, NOT_RUN],
  'HTTP/1.1 421 Misdirected Request': [NOT_RUN, OTHER_INSTANCE, DATE],
  'HTTP/1.1 421 Other': [OTHER_INSTANCE, DATE],
};

/** Responses to this request that do not say that it has not run. */
const RESPONSES: ReadonlyArray<joinedHeads.SampleHead> = [
  {statusLine: 'HTTP/1.1 200 OK', fields: [DATE, ID, PROOF]},
  {statusLine: 'HTTP/1.1 200 OK', fields: [INSTANCE, ID, PROOF]},
  {statusLine: 'HTTP/1.1 500 Internal Server Error', fields: [ID, PROOF]},
  {statusLine: 'HTTP/1.1 500 Internal Server Error', fields: [DATE, ID]},
  {statusLine: 'HTTP/1.1 504 Gateway Timeout', fields: [ID, INSTANCE]},
  {statusLine: 'HTTP/1.1 503 Service Unavailable', fields: [ID, PROOF]},
  {statusLine: 'HTTP/1.1 503 Service Unavailable', fields: [DATE, ID]},
];

/**
 * Guards against running a request twice because the rest of an earlier refusal
 * preceded its response on the connection (issue 33, rules TWICE and REFUSED):
 * a parser joins the two heads wherever the refusal is broken off in a value.
 */
for (const [statusLine, fields] of Object.entries(REFUSALS)) {
  for (const id of ['request-0', 'request-1']) {
    for (const isIdFirst of [true, false]) {
      const place = isIdFirst ? 'first' : 'last';
      test(`${statusLine} for ${id}, id ${place}, broken off before a response`, async t => {
        const ownId = ['X-Request', id] as const;
        const refusal = joinedHeads.formatResponse({
          statusLine,
          fields: isIdFirst ? [ownId, ...fields] : [...fields, ownId],
        });
        const wrong: string[] = [];
        for (const response of RESPONSES) {
          const next = joinedHeads.formatResponse(response, 'body');
          for (let cut = 0; cut < refusal.length; cut++) {
            const joined = refusal.slice(0, cut) + next;
            if (await isTakenAsNotRun(joined)) wrong.push(joined);
          }
        }
        t.deepEqual(wrong, []);
      });
    }
  }
}

/** Guards against a table in which no response is ever parsed. */
test('whole refusals are still taken as proofs', async t => {
  for (const [statusLine, fields] of Object.entries(REFUSALS)) {
    const head = {statusLine, fields: [...fields, ID]};
    t.true(await isTakenAsNotRun(joinedHeads.formatResponse(head)));
  }
});

/**
 * Guards against the same where the HTTP client of the daemon parses the bytes:
 * its parser is not that of Node.js. Here the refusal may also be whole.
 */
for (const id of ['request-0', 'request-1']) {
  for (const [statusLine, fields] of Object.entries(REFUSALS)) {
    test(`the HTTP client reads ${statusLine} for ${id} before a response`, async t => {
      const refusal = joinedHeads.formatResponse({
        statusLine,
        fields: [...fields, ['X-Request', id]],
      });
      const server = await joinedHeads.RawServer.start();
      const wrong: string[] = [];
      for (const response of RESPONSES) {
        const next = joinedHeads.formatResponse(response, 'body');
        for (let cut = 0; cut <= refusal.length; cut++) {
          const joined = refusal.slice(0, cut) + next;
          const result = await server.exchange(joined);
          if (result.kind === 'notSent') wrong.push(joined);
          if (result.kind === 'answer' && provesNotRun(result)) {
            wrong.push(joined);
          }
        }
      }
      server.close();
      t.deepEqual(wrong, []);
    });
  }
}

async function isTakenAsNotRun(bytes: string): Promise<boolean> {
  const response = await joinedHeads.parseResponse(bytes);
  return response !== null && provesNotRun(response);
}

function provesNotRun(response: responseValidator.BackendResponse): boolean {
  const validator = new responseValidator.ResponseValidator(fixtures.BINDING);
  const {kind} = validator.validate(CALL, response);
  return kind === 'refused' || kind === 'misdirected';
}
