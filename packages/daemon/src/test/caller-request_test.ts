import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as fc from 'fast-check';
import * as callerRequest from '../caller-request.js';

const KEY = 'key-of-the-organisation';

interface Case {
  /** The expected behaviour, used as the test title. */
  readonly title: string;
  readonly target?: string;
  readonly headers?: protocol.HeaderList;
  readonly expected:
    protocol.RefusalReasonName | Partial<callerRequest.CallerRequest>;
}

const bearer = (value: string): protocol.HeaderList => [
  ['authorization', value],
];

/**
 * Guards against keys that are kept in clear or accepted in a malformed form,
 * valid values that are lost, headers of the caller that pass as internal ones,
 * and paths that are split wrongly or routed without a service.
 */
const CASES: readonly Case[] = [
  {
    title: 'accepts a request without a key',
    expected: {keyHash: null, handle: null, timeoutMs: null},
  },
  {
    title: 'keeps only the hash of the key',
    headers: bearer(`Bearer ${KEY}`),
    expected: {keyHash: runtime.sha256Hex(KEY), headers: []},
  },
  {
    title: 'compares the scheme case-insensitively',
    headers: [['Authorization', `bearer ${KEY}`]],
    expected: {keyHash: runtime.sha256Hex(KEY)},
  },
  ...['', 'Bearer', 'Bearer ', `Basic ${KEY}`, KEY, `Bearer ${KEY} more`].map(
    value => ({
      title: `rejects a malformed key header: "${value}"`,
      headers: bearer(value),
      expected: 'keyMalformed' as const,
    }),
  ),
  {
    title: 'rejects a key with non-ASCII characters',
    headers: bearer('Bearer k\u00e9y'),
    expected: 'keyMalformed',
  },
  {
    title: 'accepts a key of the maximum length',
    headers: bearer(`Bearer ${'k'.repeat(512)}`),
    expected: {keyHash: runtime.sha256Hex('k'.repeat(512))},
  },
  {
    // Guards against hashing an oversized key.
    title: 'rejects a key above the maximum length',
    headers: bearer(`Bearer ${'k'.repeat(513)}`),
    expected: 'keyMalformed',
  },
  ...(
    [
      ['authorization', `Bearer ${KEY}`],
      ['idempotency-key', '1-a'],
      ['camphorwharf-handle', 'ab'],
      ['camphorwharf-timeout-ms', '10'],
      ['content-length', '10'],
    ] as const
  ).map(([name, value]) => ({
    // Guards against silently using one of the two values.
    title: `rejects repeated ${name} headers`,
    headers: [
      [name, value],
      [name.toUpperCase(), value],
    ] as const,
    expected: 'headerInvalid' as const,
  })),
  ...['0', '-1', '1.5', 'soon', '', ' 10', '1e3', '123456789'].map(value => ({
    // Guards against an invalid value that is ignored.
    title: `rejects an invalid timeout: "${value}"`,
    headers: [['camphorwharf-timeout-ms', value]] as const,
    expected: 'headerInvalid' as const,
  })),
  {
    title: 'parses a valid timeout',
    headers: [['camphorwharf-timeout-ms', '12345678']],
    expected: {timeoutMs: 12_345_678, headers: []},
  },
  {
    title: 'does not forward the idempotency key as a header',
    headers: [['Idempotency-Key', 'k'.repeat(128)]],
    expected: {idempotencyKey: 'k'.repeat(128), headers: []},
  },
  {
    // Guards against an oversized key that reaches its owner.
    title: 'rejects an idempotency key above the maximum length',
    headers: [['idempotency-key', 'k'.repeat(129)]],
    expected: 'idempotencyKeyInvalid',
  },
  {
    title: 'removes forged internal headers',
    headers: [
      ['camphorwharf-organisation', 'other'],
      ['CamphorWharf-Request-Id', '1'],
      ['camphorwharf-remaining-ms', '9'],
      ['accept', '*/*'],
    ],
    expected: {headers: [['accept', '*/*']]},
  },
  ...(
    [
      ['/parts', 'parts', '/'],
      ['/parts/', 'parts', '/'],
      ['/parts/a/b?c=d', 'parts', '/a/b?c=d'],
      ['/parts?c=d', 'parts', '/?c=d'],
    ] as const
  ).map(([target, service, path]) => ({
    title: `splits service and path: ${target}`,
    target,
    expected: {service, path},
  })),
  ...['', '/', '//parts/a', 'parts/a', '/Parts', '/a#b', 'http://a/b', '*'].map(
    target => ({
      title: `rejects a target without a service: "${target}"`,
      target,
      expected: 'routeUnknown' as const,
    }),
  ),
];

for (const {title, target = '/parts/a', headers = [], expected} of CASES) {
  test(`parseCallerRequest: ${title}`, t => {
    const parsed = callerRequest.parseCallerRequest(target, headers);
    if (typeof expected === 'string') {
      t.deepEqual(parsed, {kind: 'invalid', reason: expected});
      return;
    }
    t.is(parsed.kind, 'valid');
    if (parsed.kind === 'valid') t.like(parsed.request, expected);
  });
}

test('passedHeaders: removes hop-by-hop headers', t => {
  // Guards against headers of one connection that are passed to the next hop,
  // including those that a `Connection` header names.
  const dropped: protocol.HeaderList = [
    'Authorization',
    'connection',
    'content-length',
    'expect',
    'host',
    'Keep-Alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'Upgrade',
  ].map(name => [name, 'x-hop , X-Second']);
  const passed: protocol.HeaderList = [
    ['Accept', 'a'],
    ['set-cookie', '1'],
    ['set-cookie', '2'],
  ];
  t.deepEqual(
    callerRequest.passedHeaders([
      ...dropped,
      ['X-Hop', '1'],
      ['x-second', '2'],
      ...passed,
    ]),
    passed,
  );
});

test('parseCallerRequest: never outputs the key or an internal header', t => {
  // Guards against a leaked key and against a caller that sets internal
  // metadata, for any combination, order and case of headers.
  const name = fc.constantFrom(
    'accept',
    'Connection',
    'idempotency-key',
    'x-a',
    'Camphorwharf-Organisation',
    'camphorwharf-handle',
    'CAMPHORWHARF-x',
    'proxy-authorization',
  );
  const value = fc.constantFrom('1', 'x-a, accept', 'authorization', '');
  fc.assert(
    fc.property(
      fc.array(fc.tuple(name, value), {maxLength: 8}),
      fc.stringMatching(/^[!-~]{8,40}$/),
      fc.constantFrom('authorization', 'Authorization', 'AUTHORIZATION'),
      fc.nat(8),
      (others, key, authorization, position) => {
        const secret = `secret-${key}`;
        const headers: Array<readonly [string, string]> = [...others];
        headers.splice(position, 0, [authorization, `Bearer ${secret}`]);
        const parsed = callerRequest.parseCallerRequest('/parts/a', headers);
        if (parsed.kind === 'invalid') return;
        t.false(
          JSON.stringify(parsed).includes(JSON.stringify(secret).slice(1, -1)),
        );
        for (const [header] of parsed.request.headers) {
          t.false(header.toLowerCase().startsWith('camphorwharf-'));
          t.not(header.toLowerCase(), 'authorization');
        }
      },
    ),
    {seed: 20_261, numRuns: 500},
  );
});
