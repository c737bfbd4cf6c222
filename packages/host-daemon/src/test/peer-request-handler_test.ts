import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import type * as localTarget from '../local-target.js';
import * as peerRequestHandler from '../peer-request-handler.js';
import * as stopSchedule from '../stop-schedule.js';
import * as targetCall from '../target-call.js';

/** Time from the stop signal until the process is killed. */
const LIMIT_MS = 6_000;

/**
 * Guards against calls of peers that have not heard of a stop: they were run
 * late in it and cut off at its end.
 */
const CASES: ReadonlyArray<readonly [string, CallOptions, boolean]> = [
  ['without a stop', {nested: false, elapsedMs: null}, true],
  ['early in a stop', {nested: false, elapsedMs: 1_000}, true],
  ['late in a stop', {nested: false, elapsedMs: 4_000}, false],
  ['a nested call late in a stop', {nested: true, elapsedMs: 4_000}, true],
  ['a nested call at its end', {nested: true, elapsedMs: 5_200}, false],
  [
    'a nested call late in a stop that may outlast it',
    {nested: true, elapsedMs: 4_000, remainingMs: 1_300},
    false,
  ],
];
for (const [name, options, runs] of CASES) {
  test(`a call of a peer ${name} is ${runs ? 'run' : 'refused'}`, async t => {
    const outcome = await handleCall(options);
    t.is(outcome.ran, runs);
    t.deepEqual(outcome.refusals, [runs ? 'overloaded' : 'targetLeaving']);
  });
}

/**
 * Guards against bodies of calls that wait for a slot and fill the memory of
 * the process. The bodies of all calls together may have 100 bytes.
 */
const BODIES: ReadonlyArray<readonly [number, string]> = [
  [0, 'overloaded'],
  [100, 'overloaded'],
  [101, 'queueFull'],
];
for (const [bodyBytes, refusal] of BODIES) {
  test(`a call of a peer with ${bodyBytes} bytes of body in 100 bytes of memory`, async t => {
    const memory = new transport.BodyMemory(100);
    const outcome = await handleCall({bodyBytes, memory});
    t.deepEqual(outcome.refusals, [refusal]);
    t.is(outcome.ran, refusal === 'overloaded');
    t.is(memory.bytes, 0);
  });
}

/**
 * Guards against a second run of a call whose tombstone expired while the
 * process stood still between the check of the permission and the start.
 */
const STALLS: ReadonlyArray<readonly [number, string]> = [
  [0, 'overloaded'],
  [6_900, 'overloaded'],
  [7_000, 'cancelled'],
  [60_000, 'cancelled'],
];
for (const [stalledMs, refusal] of STALLS) {
  test(`a call of a peer whose target stood still for ${stalledMs} ms`, async t => {
    const outcome = await handleCall({stalledMs});
    t.deepEqual(outcome.refusals, [refusal]);
    t.is(outcome.ran, refusal === 'overloaded');
  });
}

interface SlowCase {
  readonly nested: boolean;
  readonly isSameLink: boolean;
  /** Unsent bytes of the slow peer, of 1 MiB for all. */
  readonly unsentBytes: number;
  /** Bytes of other responses. */
  readonly otherBytes: number;
  readonly refusal: 'queueFull' | 'overloaded';
}

const MEBIBYTE = 1024 * 1024;

/**
 * Guards against a target that refuses all callers because one entry takes its
 * responses slowly.
 */
const SLOW_CASES: Readonly<Record<string, SlowCase>> = {
  'of the slow entry': {
    nested: false,
    isSameLink: true,
    unsentBytes: MEBIBYTE,
    otherBytes: 0,
    refusal: 'queueFull',
  },
  'of another entry': {
    nested: false,
    isSameLink: false,
    unsentBytes: MEBIBYTE,
    otherBytes: 0,
    refusal: 'overloaded',
  },
  'that is nested': {
    nested: true,
    isSameLink: true,
    unsentBytes: MEBIBYTE,
    otherBytes: 0,
    refusal: 'overloaded',
  },
  'of an entry slightly above its share': {
    nested: false,
    isSameLink: true,
    unsentBytes: MEBIBYTE / 4 + 1,
    otherBytes: MEBIBYTE,
    refusal: 'queueFull',
  },
  'while there is room': {
    nested: false,
    isSameLink: true,
    unsentBytes: MEBIBYTE / 2,
    otherBytes: 0,
    refusal: 'overloaded',
  },
};
for (const [name, slowCase] of Object.entries(SLOW_CASES)) {
  test(`with unsent responses, a call ${name}`, async t => {
    const {nested, isSameLink, unsentBytes, otherBytes, refusal} = slowCase;
    const responseMemory = new transport.ResponseMemory(MEBIBYTE);
    responseMemory.add(otherBytes);
    const slow = {} as transport.PeerLink;
    const refusals: string[] = [];
    let finish: () => void = () => undefined;
    const sending = new Promise<void>(resolve => (finish = resolve));
    const body = new Uint8Array(unsentBytes);
    let results: targetCall.CallResult[] = [
      {kind: 'answer', status: 200, headers: [], body},
    ];
    const run = () =>
      Promise.resolve(results.pop() ?? targetCall.refusedResult('overloaded'));
    const handler = openHandler(run, {responseMemory});
    const call = {
      permissionValid: true,
      acceptedMs: 10_000,
      head: {
        service: 'parts',
        instance: 'instance-1',
        attempt: 1,
        nested,
        headers: [],
        context: {requestId: 'request-1', remainingMs: 1_000},
      },
      refuse: (reason: string) => refusals.push(reason),
      respond: () => sending,
    } as unknown as transport.IncomingCall;
    const answered = handler.onCall(call, slow);
    await new Promise(resolve => setImmediate(resolve));
    results = [];
    const second = {
      ...call,
      head: {
        ...call.head,
        context: {...call.head.context, requestId: 'request-2'},
      },
    };
    const link = isSameLink ? slow : ({} as transport.PeerLink);
    await handler.onCall(second, link);
    t.deepEqual(refusals, [refusal]);
    finish();
    await answered;
    t.is(responseMemory.bytes, otherBytes);
  });
}

function openHandler(
  run: () => Promise<targetCall.CallResult>,
  options: Partial<peerRequestHandler.PeerRequestHandlerOptions>,
): peerRequestHandler.PeerRequestHandler {
  return new peerRequestHandler.PeerRequestHandler({
    clock: new runtime.ManualClock(10_000),
    service: 'parts',
    incarnation: 'incarnation-1',
    stopSchedule: new stopSchedule.StopSchedule(LIMIT_MS),
    bodyMemory: new transport.BodyMemory(),
    startedCalls: new ownership.CallRegister(),
    reporter: () => {
      throw new Error('No report is expected.');
    },
    local: {
      load: undefined,
      runMs: 50,
      run,
    } as unknown as localTarget.LocalTarget,
    ...options,
  });
}

interface CallOptions {
  readonly nested?: boolean;
  /** Time since the start of a stop, in milliseconds; null without one. */
  readonly elapsedMs?: number | null;
  /** Time until the deadline of the call. */
  readonly remainingMs?: number;
  readonly bodyBytes?: number;
  readonly memory?: transport.BodyMemory;
  /** Time between the check of the permission and the start. */
  readonly stalledMs?: number;
}

/** Handles a call; its target refuses it as overloaded. */
async function handleCall({
  nested = false,
  elapsedMs = null,
  remainingMs = 1_000,
  bodyBytes = 0,
  memory = new transport.BodyMemory(),
  stalledMs = 0,
}: CallOptions): Promise<{ran: boolean; refusals: string[]}> {
  const clock = new runtime.ManualClock(10_000);
  const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
  if (elapsedMs !== null) schedule.begin(clock.monotonicMs() - elapsedMs);
  const outcome = {ran: false, refusals: [] as string[]};
  const handler = new peerRequestHandler.PeerRequestHandler({
    clock,
    service: 'parts',
    incarnation: 'incarnation-1',
    stopSchedule: schedule,
    bodyMemory: memory,
    startedCalls: new ownership.CallRegister(),
    reporter: () => {
      throw new Error('No report is expected.');
    },
    local: {
      load: undefined,
      run: () => {
        outcome.ran = true;
        return Promise.resolve(targetCall.refusedResult('overloaded'));
      },
    } as unknown as localTarget.LocalTarget,
  });
  await handler.onCall(
    {
      permissionValid: true,
      acceptedMs: clock.monotonicMs() - stalledMs,
      head: {
        service: 'parts',
        instance: 'instance-1',
        attempt: 1,
        nested,
        headers: [],
        context: {requestId: 'request-1', remainingMs},
        ...(bodyBytes > 0 ? {wholeBody: new Uint8Array(bodyBytes)} : {}),
      },
      refuse: (reason: string) => outcome.refusals.push(reason),
    } as unknown as transport.IncomingCall,
    {} as transport.PeerLink,
  );
  return outcome;
}
