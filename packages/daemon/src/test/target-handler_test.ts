import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as admissionTask from '../admission-task.js';
import * as backendServerForwarder from '../backend-server-forwarder.js';
import * as runningCallRegistry from '../running-call-registry.js';
import * as targetHandler from '../target-handler.js';

type BackendSend = transport.BackendServerClient['send'];

interface Setup {
  readonly refusalReason?: protocol.RefusalReasonName;
  readonly send?: BackendSend;
}

const answering: BackendSend = () =>
  Promise.resolve({
    kind: 'answer',
    status: 200,
    headers: [
      ['x-a', '1'],
      ['camphorwharf-outcome', 'forged'],
      ['connection', 'close'],
    ],
    contentLength: 0,
    body: (async function* () {})(),
  });

/** Creates a handler with real admission control and a fake client. */
function createHandler({refusalReason, send = answering}: Setup = {}) {
  const clock = new runtime.ManualClock();
  const controller = new admission.TargetAdmission();
  controller.setLimits({maximumConcurrency: 10, maximumQueue: 10});
  const startedCalls = targetHandler.createCallRegister();
  const runningCalls = new runningCallRegistry.RunningCallRegistry(
    new runtime.SeededRandom(1),
  );
  const requests: transport.BackendRequest[] = [];
  const client = {
    send: (request: transport.BackendRequest) => {
      requests.push(request);
      return send(request);
    },
  } as transport.BackendServerClient;
  const handler = new targetHandler.TargetHandler({
    clock,
    service: 'parts',
    admission: new admissionTask.AdmissionTask({
      clock,
      metrics: new runtime.Metrics(),
      controller,
    }),
    startedCalls,
    backendServer: new backendServerForwarder.BackendServerForwarder({
      clock,
      client,
      runningCalls,
    }),
    queueWeightOf: () => 1,
    refusalReason: () => refusalReason ?? null,
  });
  return {clock, controller, handler, startedCalls, requests, runningCalls};
}

interface IncomingOverrides {
  readonly permissionValid?: boolean;
  readonly acceptedMs?: number;
  readonly service?: string;
  readonly headers?: protocol.HeaderList;
  readonly context?: Partial<protocol.CallContext>;
}

/** Creates an incoming call that records how it ended. */
function incoming(overrides: IncomingOverrides = {}) {
  const ends: string[] = [];
  const unspent: number[] = [];
  const responseHeaders: protocol.HeaderList[] = [];
  const call: transport.IncomingCall = {
    head: {
      kind: 'call',
      call: 1,
      attempt: 1,
      service: overrides.service ?? 'parts',
      method: 'POST',
      path: '/a',
      headers: overrides.headers ?? [],
      contentLength: null,
      hasBody: false,
      context: {
        requestId: 'request-1',
        organisation: 'shop',
        importance: 1,
        rank: 0.5,
        remainingMs: 1_000,
        retries: 2,
        depth: 1,
        idempotent: false,
        idempotencyKey: '1-a',
        ...overrides.context,
      },
      permission: {heartbeatNumber: 1, elapsedMs: 0, remainingMs: 1_000},
    },
    permissionValid: overrides.permissionValid ?? true,
    acceptedMs: overrides.acceptedMs ?? 0,
    body: null,
    signal: new AbortController().signal,
    cancelSignal: new AbortController().signal,
    respond: async (head, body, trailer) => {
      for await (const chunk of body) void chunk;
      ends.push(`answer ${head.status}`);
      responseHeaders.push(head.headers);
      unspent.push(trailer().unspentRetries);
    },
    respondWhole: () => {
      throw new Error('The target handler only streams responses.');
    },
    refuse: (reason, final, trailer) => {
      ends.push(`refused ${reason}${final ? ' finally' : ''}`);
      unspent.push(trailer.unspentRetries);
    },
    reportUnknown: (reason, trailer) => {
      ends.push(`unknown ${reason}`);
      unspent.push(trailer.unspentRetries);
    },
  };
  return {call, ends, unspent, responseHeaders};
}

/**
 * Title, call, setup and result of calls that must not be forwarded. Guards
 * against forwarding calls that are late or misdirected, or that arrive at a
 * leaving target.
 */
const REFUSED: ReadonlyArray<
  readonly [string, IncomingOverrides, Setup, string]
> = [
  [
    'refuses a call after its start permission expired',
    {permissionValid: false},
    {},
    'refused permissionExpired',
  ],
  [
    'refuses a call for another service',
    {service: 'billing'},
    {},
    'refused targetUnavailable',
  ],
  [
    'refuses new calls while leaving',
    {},
    {refusalReason: 'targetLeaving'},
    'refused targetLeaving',
  ],
  [
    'refuses a call without remaining time',
    {context: {remainingMs: 0}},
    {},
    'refused deadlineExpired',
  ],
  [
    'refuses a call with negative remaining time',
    {context: {remainingMs: -5}},
    {},
    'refused deadlineExpired',
  ],
];

for (const [title, overrides, setup, expected] of REFUSED) {
  test(`target: ${title}`, async t => {
    const {handler, requests, controller, startedCalls} = createHandler(setup);
    const {call, ends, unspent} = incoming(overrides);
    await handler.handle(call);
    t.deepEqual(ends, [expected]);
    t.deepEqual(unspent, [2], 'a refusal returns all retries');
    t.is(requests.length, 0);
    t.is(controller.inFlight, 0);
    t.is(startedCalls.size, 0);
  });
}

test('target: forwards a duplicate attempt only once', async t => {
  // Guards against a duplicate attempt that runs twice.
  const {handler, requests, controller} = createHandler();
  const ends: string[] = [];
  for (const repeat of [incoming(), incoming()]) {
    await handler.handle(repeat.call);
    ends.push(...repeat.ends);
  }
  t.deepEqual(ends, ['answer 200', 'unknown duplicateRequest']);
  t.is(requests.length, 1);
  t.is(controller.inFlight, 0);
});

const CANCELLED_CALL = {requestId: 'request-1', attempt: 1, sentAfterMs: 0};

test('target: refuses a cancelled attempt', async t => {
  // Guards against running an attempt after proof that it never starts.
  const {handler, requests, startedCalls, controller} = createHandler();
  t.is(startedCalls.cancelIfNotStarted(CANCELLED_CALL, 0), 'neverStarts');
  const {call, ends} = incoming();
  await handler.handle(call);
  t.deepEqual(ends, ['refused cancelled finally']);
  t.is(requests.length, 0);
  t.is(controller.inFlight, 0);
});

/**
 * Guards against a second run of a call that waited for admission until a
 * tombstone of it had expired.
 */
for (const [waitedMs, end] of [
  [51_900, 'answer 200'],
  [52_000, 'refused cancelled finally'],
] as const) {
  test(`target: a call that waited for ${waitedMs} ms gets: ${end}`, async t => {
    const {handler, requests, controller} = createHandler();
    const {call, ends} = incoming({acceptedMs: -waitedMs});
    await handler.handle(call);
    t.deepEqual(ends, [end]);
    t.is(requests.length, end === 'answer 200' ? 1 : 0);
    t.is(controller.inFlight, 0);
  });
}

test('target: a cancel query for a started call returns started', async t => {
  // Guards against neverStarts for a started call, which would run twice.
  const {handler, startedCalls} = createHandler({
    send: request => {
      t.is(startedCalls.cancelIfNotStarted(CANCELLED_CALL, 0), 'started');
      return answering(request);
    },
  });
  const {call, ends} = incoming();
  await handler.handle(call);
  t.deepEqual(ends, ['answer 200']);
});

/**
 * Guards against an unknown outcome for calls that were not sent, and a refusal
 * for calls that may have run.
 */
const ENDS: ReadonlyArray<readonly [string, BackendSend, string]> = [
  [
    'reports a call that was not sent as refused',
    () => Promise.resolve({kind: 'notSent', error: new Error('refused')}),
    'refused targetUnavailable',
  ],
  [
    'reports a lost response as unknown outcome',
    () => Promise.resolve({kind: 'lost', error: new Error('reset')}),
    'unknown backendServerFailed',
  ],
];

for (const [title, send, expected] of ENDS) {
  test(`target: ${title}`, async t => {
    const {handler, controller, runningCalls} = createHandler({send});
    const {call, ends} = incoming();
    await handler.handle(call);
    t.deepEqual(ends, [expected]);
    t.is(controller.inFlight, 0);
    t.is(runningCalls.size, 0);
  });
}

test('target: removes hop-by-hop, key and forged headers and adds metadata', async t => {
  // Guards against the key or headers of the hop reaching the backend server.
  const {handler, requests, runningCalls} = createHandler({
    send: request => {
      const handle = request.headers.find(
        ([name]) => name === 'camphorwharf-handle',
      );
      t.is(
        runningCalls.find(handle?.[1] ?? '')?.context.requestId,
        'request-1',
      );
      return answering(request);
    },
  });
  const {call, responseHeaders} = incoming({
    headers: [
      ['authorization', 'Bearer secret'],
      ['camphorwharf-organisation', 'forged'],
      ['x-a', '1'],
    ],
  });
  await handler.handle(call);
  const headers = new Map(requests[0].headers);
  headers.delete('camphorwharf-handle');
  t.deepEqual(
    [...headers],
    [
      ['x-a', '1'],
      ['camphorwharf-remaining-ms', '1000'],
      ['camphorwharf-request-id', 'request-1'],
      ['camphorwharf-organisation', 'shop'],
      ['idempotency-key', '1-a'],
    ],
  );
  t.deepEqual(responseHeaders, [[['x-a', '1']]]);
  t.is(runningCalls.size, 0, 'the handle is removed when its call ends');
});
