import * as admission from '@camphorwharf/admission';
import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as admissionTask from '../admission-task.js';
import * as backendServerCall from '../backend-server-call.js';
import * as handles from '../handles.js';
import * as targetPath from '../target-path.js';

type BackendSend = transport.BackendServerClient['send'];

interface Setup {
  readonly closedReason?: protocol.RefusalReasonName;
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

/** A target path over real admission and register, with a scripted client. */
function createTarget({closedReason, send = answering}: Setup = {}) {
  const clock = new runtime.ManualClock();
  const controller = new admission.TargetAdmission();
  controller.setLimits({maximumConcurrency: 10, maximumQueue: 10});
  const register = new ownership.CallRegister();
  const running = new handles.RunningCalls(new runtime.SeededRandom(1));
  const requests: transport.BackendRequest[] = [];
  const client = {
    send: (request: transport.BackendRequest) => {
      requests.push(request);
      return send(request);
    },
  } as transport.BackendServerClient;
  const path = new targetPath.TargetPath({
    clock,
    service: 'parts',
    admission: new admissionTask.AdmissionTask({
      clock,
      metrics: new runtime.Metrics(),
      controller,
    }),
    register,
    backendServer: new backendServerCall.BackendServerCaller({
      clock,
      client,
      running,
    }),
    weightOf: () => 1,
    closedReason: () => closedReason ?? null,
  });
  return {clock, controller, path, register, requests, running};
}

interface IncomingOverrides {
  readonly inTime?: boolean;
  readonly service?: string;
  readonly headers?: protocol.HeaderList;
  readonly context?: Partial<protocol.CallContext>;
}

/** An incoming call that records how it was ended. */
function incoming(overrides: IncomingOverrides = {}) {
  const ends: string[] = [];
  const unspent: number[] = [];
  const answers: protocol.HeaderList[] = [];
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
    inTime: overrides.inTime ?? true,
    body: null,
    signal: new AbortController().signal,
    cancelSignal: new AbortController().signal,
    answer: async (head, body, trailer) => {
      for await (const chunk of body) void chunk;
      ends.push(`answer ${head.status}`);
      answers.push(head.headers);
      unspent.push(trailer().unspentRetries);
    },
    answerWhole: () => {
      throw new Error('This path streams its answers.');
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
  return {call, ends, unspent, answers};
}

/** Calls that must never reach the backend server. */
const REFUSED: ReadonlyArray<
  readonly [string, IncomingOverrides, Setup, string]
> = [
  [
    'a call after its permission runs',
    {inTime: false},
    {},
    'refused permissionExpired',
  ],
  [
    'a call for another service runs',
    {service: 'billing'},
    {},
    'refused targetUnavailable',
  ],
  [
    'a leaving target runs new calls',
    {},
    {closedReason: 'targetLeaving'},
    'refused targetLeaving',
  ],
  [
    'a call without time left runs',
    {context: {remainingMs: 0}},
    {},
    'refused deadlineExpired',
  ],
  [
    'a call with negative time left runs',
    {context: {remainingMs: -5}},
    {},
    'refused deadlineExpired',
  ],
];

for (const [guards, overrides, setup, expected] of REFUSED) {
  test(`target: guards against: ${guards}`, async t => {
    const {path, requests, controller, register} = createTarget(setup);
    const {call, ends, unspent} = incoming(overrides);
    await path.handle(call);
    t.deepEqual(ends, [expected]);
    t.deepEqual(unspent, [2], 'a refusal returns the whole share');
    t.is(requests.length, 0);
    t.is(controller.inFlight, 0);
    t.is(register.size, 0);
  });
}

test('target: guards against a duplicate attempt that runs twice', async t => {
  const {path, requests, controller} = createTarget();
  const ends: string[] = [];
  for (const repeat of [incoming(), incoming()]) {
    await path.handle(repeat.call);
    ends.push(...repeat.ends);
  }
  t.deepEqual(ends, ['answer 200', 'unknown duplicateRequest']);
  t.is(requests.length, 1);
  t.is(controller.inFlight, 0);
});

test('target: guards against a tombstoned attempt that runs', async t => {
  const {path, requests, register, controller} = createTarget();
  t.is(register.cancelIfNotStarted('request-1', 1, 9_000, 0), 'neverStarts');
  const {call, ends} = incoming();
  await path.handle(call);
  t.deepEqual(ends, ['refused cancelled finally']);
  t.is(requests.length, 0);
  t.is(controller.inFlight, 0);
});

test('target: guards against neverStarts for a call that has started', async t => {
  const {path, register} = createTarget({
    send: request => {
      t.is(register.cancelIfNotStarted('request-1', 1, 9_000, 0), 'started');
      return answering(request);
    },
  });
  const {call, ends} = incoming();
  await path.handle(call);
  t.deepEqual(ends, ['answer 200']);
});

const ENDS: ReadonlyArray<readonly [string, BackendSend, string]> = [
  [
    'a call that was not sent counts as run',
    () => Promise.resolve({kind: 'notSent', error: new Error('refused')}),
    'refused targetUnavailable',
  ],
  [
    'a lost answer counts as not run',
    () => Promise.resolve({kind: 'lost', error: new Error('reset')}),
    'unknown backendServerFailed',
  ],
];

for (const [guards, send, expected] of ENDS) {
  test(`target: guards against: ${guards}`, async t => {
    const {path, controller, running} = createTarget({send});
    const {call, ends} = incoming();
    await path.handle(call);
    t.deepEqual(ends, [expected]);
    t.is(controller.inFlight, 0);
    t.is(running.size, 0);
  });
}

test('target: guards against headers of the hop or the key at the backend server', async t => {
  const {path, requests, running} = createTarget({
    send: request => {
      const handle = request.headers.find(
        ([name]) => name === 'camphorwharf-handle',
      );
      t.is(running.find(handle?.[1] ?? '')?.context.requestId, 'request-1');
      return answering(request);
    },
  });
  const {call, answers} = incoming({
    headers: [
      ['authorization', 'Bearer secret'],
      ['camphorwharf-organisation', 'forged'],
      ['x-a', '1'],
    ],
  });
  await path.handle(call);
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
  t.deepEqual(answers, [[['x-a', '1']]]);
  t.is(running.size, 0, 'the handle ends with its call');
});
