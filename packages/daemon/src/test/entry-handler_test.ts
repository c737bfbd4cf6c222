import * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as entryHandler from '../entry-handler.js';
import * as runningCallRegistry from '../running-call-registry.js';
import * as fakes from './fake-peers.js';
import * as fixture from './declaration-fixture.js';

interface Setup {
  readonly answer?: () => transport.PeerResult;
  readonly hasPrepaidToken?: boolean;
  readonly spend?: coordination.SpendResult;
  readonly claim?: coordination.ClaimVerdict;
  readonly document?: null;
}

type Settle = Omit<protocol.KeySettle, 'kind'>;

function createHandler(setup: Setup = {}) {
  const clock = new runtime.ManualClock();
  const random = new runtime.SeededRandom(7);
  const runningCalls = new runningCallRegistry.RunningCallRegistry(random);
  const peers = new fakes.FakePeers({
    answer: setup.answer ?? (() => fakes.completed()),
  });
  const index = {current: fixture.documentIndex(1)};
  const settled: Settle[] = [];
  const claims: Array<Omit<protocol.KeyClaim, 'kind'>> = [];
  const spent: string[] = [];
  const handler = new entryHandler.EntryHandler({
    clock,
    random,
    documentIndex: () => (setup.document === null ? null : index.current),
    limits: {
      trySpend: organisation => {
        spent.push(organisation);
        return setup.hasPrepaidToken ?? setup.spend === undefined;
      },
      spend: () => Promise.resolve(setup.spend ?? 'granted'),
    },
    keys: {
      claim: request => {
        claims.push(request);
        return Promise.resolve(setup.claim ?? {kind: 'claimed'});
      },
      settle: request => void settled.push(request),
    },
    router: fakes.createRouter(peers, clock),
    runningCalls,
  });
  return {handler, peers, runningCalls, index, settled, claims, spent};
}

function entryCall(
  overrides: Partial<entryHandler.EntryCall> = {},
): entryHandler.EntryCall {
  return {
    method: 'GET',
    path: '/parts/items/1',
    headers: [['authorization', `Bearer ${fixture.KEY}`]],
    contentLength: null,
    body: null,
    signal: new AbortController().signal,
    ...overrides,
  };
}

const ORDER: Partial<entryHandler.EntryCall> = {
  method: 'POST',
  path: '/parts/orders',
  headers: [
    ['authorization', `Bearer ${fixture.KEY}`],
    ['idempotency-key', '1-a'],
  ],
};

interface Case extends Setup {
  /** The expected behaviour, used as the test title. */
  readonly title: string;
  readonly call?: Partial<entryHandler.EntryCall>;
  readonly expected: string;
  readonly sent?: number;
  readonly settled?: ReadonlyArray<Settle['result']>;
}

/**
 * Guards against valid calls that are refused, calls that run without
 * authorization, beyond a limit or twice, and claims that stay in progress or
 * are released although the call may have run.
 */
const CASES: readonly Case[] = [
  {title: 'forwards a valid call', expected: 'answer 200', sent: 1},
  {
    title: 'refuses calls before a document is adopted',
    document: null,
    expected: 'refused documentMissing',
  },
  {
    title: 'refuses a call without a key',
    call: {headers: []},
    expected: 'refused keyMissing',
  },
  {
    title: 'refuses a call with an unknown key',
    call: {headers: [['authorization', 'Bearer other']]},
    expected: 'refused keyUnknown',
  },
  {
    title: 'refuses a call with a malformed key header',
    call: {headers: [['authorization', fixture.KEY]]},
    expected: 'refused keyMalformed',
  },
  {
    title: 'accepts a call without a key on an open route',
    call: {path: '/parts/public', headers: []},
    expected: 'answer 200',
    sent: 1,
  },
  {
    title: 'refuses an undeclared path',
    call: {path: '/parts/secret'},
    expected: 'refused routeUnknown',
  },
  {
    title: 'refuses an undeclared method',
    call: {method: 'DELETE'},
    expected: 'refused routeUnknown',
  },
  {
    title: 'refuses an unknown handle, even with a valid key',
    call: {
      headers: [
        ['authorization', `Bearer ${fixture.KEY}`],
        ['camphorwharf-handle', '00'],
      ],
    },
    expected: 'refused handleUnknown',
  },
  ...(['limitExceeded', 'limitUnavailable'] as const).map(spend => ({
    title: `refuses a call on ${spend}`,
    spend,
    expected: `refused ${spend}`,
  })),
  {
    title: 'uses a prepaid token',
    hasPrepaidToken: true,
    spend: 'limitExceeded',
    expected: 'answer 200',
    sent: 1,
  },
  ...(
    [
      [{kind: 'inProgress'}, 'unknown duplicateRequest'],
      [{kind: 'completed', status: 200}, 'unknown duplicateRequest'],
      [{kind: 'olderThanOwner'}, 'unknown keyOlderThanOwner'],
      [{kind: 'payloadDiffers'}, 'refused idempotencyKeyReused'],
      [{kind: 'invalid'}, 'refused idempotencyKeyInvalid'],
      [{kind: 'tableFull'}, 'refused keyOwnerUnavailable'],
      ['unavailable', 'refused keyOwnerUnavailable'],
    ] as const
  ).map(([claim, expected]) => ({
    // Guards against a call that runs or releases a claim it does not hold.
    title: `neither sends nor settles a call on claim result: ${JSON.stringify(claim)}`,
    call: ORDER,
    claim,
    expected,
  })),
  {
    title: 'settles the claim of a completed call',
    call: ORDER,
    answer: () => fakes.completed(201),
    expected: 'answer 201',
    sent: 1,
    settled: [{kind: 'completed', status: 201}],
  },
  {
    title: 'releases the claim of a call that did not run',
    call: ORDER,
    answer: () => fakes.refusal('deadlineTooShort'),
    expected: 'refused deadlineTooShort',
    sent: 1,
    settled: [{kind: 'notRun'}],
  },
  {
    title: 'keeps the claim of a call with unknown outcome',
    call: ORDER,
    answer: () => fakes.lostAfterSend,
    expected: 'unknown answerLost',
    sent: 1,
    settled: [{kind: 'unknown'}],
  },
];

for (const {call, expected, title, ...row} of CASES) {
  test(`entry: ${title}`, async t => {
    const {handler, peers, settled} = createHandler(row);
    t.is(fakes.summary(await handler.handle(entryCall(call))), expected);
    t.is(peers.calls.length, row.sent ?? 0);
    t.deepEqual(
      settled.map(({result}) => result),
      row.settled ?? [],
    );
    t.notRegex(JSON.stringify(peers.calls), new RegExp(fixture.KEY));
  });
}

test('entry: refuses a revoked key once the new document is adopted', async t => {
  // Guards against a key that stays usable after its revocation.
  const {handler, index} = createHandler();
  t.is(fakes.summary(await handler.handle(entryCall())), 'answer 200');
  index.current = fixture.documentIndex(2, 'another-key');
  t.is(fakes.summary(await handler.handle(entryCall())), 'refused keyUnknown');
});

test('entry: the payload digest depends on the body', async t => {
  // Guards against one digest for two bodies, which hides a reused key.
  const {handler, claims} = createHandler();
  for (const text of ['a', 'a', 'b']) {
    const body = (async function* () {
      yield Buffer.from(text);
    })();
    await handler.handle(entryCall({...ORDER, body, contentLength: 1}));
  }
  const digests = claims.map(({payloadDigest}) => payloadDigest);
  t.is(digests[0], digests[1]);
  t.not(digests[1], digests[2]);
});

/** Guards against endless call chains and calls without authorization. */
const PARENTS: ReadonlyArray<readonly [string, number, string | null, string]> =
  [
    ['accepts a call chain of 14 hops', 13, 'shop', 'answer 200'],
    [
      'refuses a call chain of more than 14 hops',
      14,
      'shop',
      'refused depthExceeded',
    ],
    [
      'refuses a call of a removed organisation',
      1,
      'gone',
      'refused keyMissing',
    ],
    [
      'refuses a call without organisation on a protected route',
      1,
      null,
      'refused keyMissing',
    ],
  ];

for (const [title, depth, organisation, expected] of PARENTS) {
  test(`entry: ${title}`, async t => {
    const {handler, peers, runningCalls, spent} = createHandler();
    const parent = runningCalls.register({
      context: {
        ...fakes.outgoingRequest().context,
        remainingMs: 300,
        retries: 3,
        depth,
        organisation,
        importance: 0,
        rank: 0.25,
      },
      deadlineMs: 300,
      budget: new admission.RequestRetryBudget(3),
      signal: new AbortController().signal,
    });
    const headers = [['camphorwharf-handle', parent.handle]] as const;
    const result = await handler.handle(entryCall({headers}));
    t.is(fakes.summary(result), expected);
    t.deepEqual(spent, [], 'downstream calls use no rate limit token');
    if (result.kind !== 'answer') {
      t.is(peers.calls.length, 0);
      return;
    }
    t.like(peers.calls[0].call.context, {
      requestId: 'request-1.1',
      organisation,
      importance: 0,
      rank: 0.25,
      remainingMs: 300,
      retries: 2,
      depth: depth + 1,
    });
    runningCalls.remove(parent.handle);
    const repeated = await handler.handle(entryCall({headers}));
    t.is(fakes.summary(repeated), 'refused handleUnknown');
  });
}

test('the document of the test declaration is valid', t => {
  const text = declaration.serializeDocument(fixture.document(1));
  t.true(declaration.parsePublishedDocument(text).ok);
});
