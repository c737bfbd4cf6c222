import * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as entryPath from '../entry-path.js';
import * as handles from '../handles.js';
import * as fakes from './fake-peers.js';
import * as fixture from './declaration-fixture.js';

interface Setup {
  readonly answer?: () => transport.PeerResult;
  readonly held?: boolean;
  readonly spend?: coordination.SpendResult;
  readonly claim?: coordination.ClaimVerdict;
  readonly document?: null;
}

type Settle = Omit<protocol.KeySettle, 'kind'>;

function createEntry(setup: Setup = {}) {
  const clock = new runtime.ManualClock();
  const random = new runtime.SeededRandom(7);
  const running = new handles.RunningCalls(random);
  const peers = new fakes.FakePeers({
    answer: setup.answer ?? (() => fakes.completed()),
  });
  const index = {current: fixture.documentIndex(1)};
  const settled: Settle[] = [];
  const claims: Array<Omit<protocol.KeyClaim, 'kind'>> = [];
  const spent: string[] = [];
  const entry = new entryPath.EntryPath({
    clock,
    random,
    routes: () => (setup.document === null ? null : index.current),
    limits: {
      trySpend: organisation => {
        spent.push(organisation);
        return setup.held ?? setup.spend === undefined;
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
    running,
  });
  return {entry, peers, running, index, settled, claims, spent};
}

function entryCall(
  overrides: Partial<entryPath.EntryCall> = {},
): entryPath.EntryCall {
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

const ORDER: Partial<entryPath.EntryCall> = {
  method: 'POST',
  path: '/parts/orders',
  headers: [
    ['authorization', `Bearer ${fixture.KEY}`],
    ['idempotency-key', '1-a'],
  ],
};

interface Case extends Setup {
  /** The failure that the case guards against. */
  readonly guards: string;
  readonly call?: Partial<entryPath.EntryCall>;
  readonly expected: string;
  readonly sent?: number;
  readonly settled?: ReadonlyArray<Settle['result']>;
}

const CASES: readonly Case[] = [
  {guards: 'a valid call is refused', expected: 'answer 200', sent: 1},
  {
    guards: 'calls are served before a document is in force',
    document: null,
    expected: 'refused documentMissing',
  },
  {
    guards: 'a call without a key runs',
    call: {headers: []},
    expected: 'refused keyMissing',
  },
  {
    guards: 'a call with an unknown key runs',
    call: {headers: [['authorization', 'Bearer other']]},
    expected: 'refused keyUnknown',
  },
  {
    guards: 'a call with a malformed key header runs',
    call: {headers: [['authorization', fixture.KEY]]},
    expected: 'refused keyMalformed',
  },
  {
    guards: 'an open route asks for a key',
    call: {path: '/parts/public', headers: []},
    expected: 'answer 200',
    sent: 1,
  },
  {
    guards: 'an undeclared path runs',
    call: {path: '/parts/secret'},
    expected: 'refused routeUnknown',
  },
  {
    guards: 'an undeclared method runs',
    call: {method: 'DELETE'},
    expected: 'refused routeUnknown',
  },
  {
    guards: 'an unknown handle counts as entitlement, even with a key',
    call: {
      headers: [
        ['authorization', `Bearer ${fixture.KEY}`],
        ['camphorwharf-handle', '00'],
      ],
    },
    expected: 'refused handleUnknown',
  },
  ...(['limitExceeded', 'limitUnavailable'] as const).map(spend => ({
    guards: `a call runs in spite of ${spend}`,
    spend,
    expected: `refused ${spend}`,
  })),
  {
    guards: 'a held token is not used',
    held: true,
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
    guards: `a call runs or releases a claim it does not hold after: ${JSON.stringify(claim)}`,
    call: ORDER,
    claim,
    expected,
  })),
  {
    guards: 'a completed call leaves its claim in progress',
    call: ORDER,
    answer: () => fakes.completed(201),
    expected: 'answer 201',
    sent: 1,
    settled: [{kind: 'completed', status: 201}],
  },
  {
    guards: 'a call that was not run keeps its claim',
    call: ORDER,
    answer: () => fakes.refusal('deadlineTooShort'),
    expected: 'refused deadlineTooShort',
    sent: 1,
    settled: [{kind: 'notRun'}],
  },
  {
    guards: 'a claim is released though the call may have run',
    call: ORDER,
    answer: () => fakes.lostAfterSend,
    expected: 'unknown answerLost',
    sent: 1,
    settled: [{kind: 'unknown'}],
  },
];

for (const {call, expected, guards, ...row} of CASES) {
  test(`entry: guards against: ${guards}`, async t => {
    const {entry, peers, settled} = createEntry(row);
    t.is(fakes.brief(await entry.handle(entryCall(call))), expected);
    t.is(peers.calls.length, row.sent ?? 0);
    t.deepEqual(
      settled.map(({result}) => result),
      row.settled ?? [],
    );
    t.notRegex(JSON.stringify(peers.calls), new RegExp(fixture.KEY));
  });
}

test('entry: guards against a revoked key that is accepted once the new document is in force', async t => {
  const {entry, index} = createEntry();
  t.is(fakes.brief(await entry.handle(entryCall())), 'answer 200');
  index.current = fixture.documentIndex(2, 'another-key');
  t.is(fakes.brief(await entry.handle(entryCall())), 'refused keyUnknown');
});

test('entry: guards against one payload digest for different bodies', async t => {
  const {entry, claims} = createEntry();
  for (const text of ['a', 'a', 'b']) {
    const body = (async function* () {
      yield Buffer.from(text);
    })();
    await entry.handle(entryCall({...ORDER, body, contentLength: 1}));
  }
  const digests = claims.map(({payloadDigest}) => payloadDigest);
  t.is(digests[0], digests[1]);
  t.not(digests[1], digests[2]);
});

const PARENTS: ReadonlyArray<readonly [string, number, string | null, string]> =
  [
    ['a chain of 14 hops is refused', 13, 'shop', 'answer 200'],
    ['a chain exceeds 14 hops', 14, 'shop', 'refused depthExceeded'],
    ['a removed organisation runs', 1, 'gone', 'refused keyMissing'],
    ['an open call reaches a closed route', 1, null, 'refused keyMissing'],
  ];

for (const [guards, depth, organisation, expected] of PARENTS) {
  test(`entry: guards against: ${guards}`, async t => {
    const {entry, peers, running, spent} = createEntry();
    const parent = running.add({
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
    const result = await entry.handle(entryCall({headers}));
    t.is(fakes.brief(result), expected);
    t.deepEqual(spent, [], 'downstream calls spend no token');
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
    running.remove(parent.handle);
    const late = await entry.handle(entryCall({headers}));
    t.is(fakes.brief(late), 'refused handleUnknown');
  });
}

test('the fixture document is valid', t => {
  const text = declaration.serializeDocument(fixture.document(1));
  t.true(declaration.parsePublishedDocument(text).ok);
});
