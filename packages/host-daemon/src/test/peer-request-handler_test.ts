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
    'a long nested call late in a stop',
    {nested: true, elapsedMs: 4_000, runMs: 800},
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

interface CallOptions {
  readonly nested?: boolean;
  /** Time since the start of a stop, in milliseconds; null without one. */
  readonly elapsedMs?: number | null;
  /** Average run time of calls at the target. */
  readonly runMs?: number;
  readonly bodyBytes?: number;
  readonly memory?: transport.BodyMemory;
  /** Time between the check of the permission and the start. */
  readonly stalledMs?: number;
}

/** Handles a call; its target refuses it as overloaded. */
async function handleCall({
  nested = false,
  elapsedMs = null,
  runMs = 50,
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
      runMs,
      run: () => {
        outcome.ran = true;
        return Promise.resolve(targetCall.refusedResult('overloaded'));
      },
    } as unknown as localTarget.LocalTarget,
  });
  await handler.onCall({
    permissionValid: true,
    acceptedMs: clock.monotonicMs() - stalledMs,
    head: {
      service: 'parts',
      instance: 'instance-1',
      attempt: 1,
      nested,
      headers: [],
      context: {requestId: 'request-1', remainingMs: 1_000},
      ...(bodyBytes > 0 ? {wholeBody: new Uint8Array(bodyBytes)} : {}),
    },
    refuse: (reason: string) => outcome.refusals.push(reason),
  } as unknown as transport.IncomingCall);
  return outcome;
}
