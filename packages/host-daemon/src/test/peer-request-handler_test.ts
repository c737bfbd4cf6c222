import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
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
const CASES: ReadonlyArray<
  readonly [string, {nested: boolean; elapsedMs: number | null}, boolean]
> = [
  ['without a stop', {nested: false, elapsedMs: null}, true],
  ['early in a stop', {nested: false, elapsedMs: 1_000}, true],
  ['late in a stop', {nested: false, elapsedMs: 4_000}, false],
  ['a nested call late in a stop', {nested: true, elapsedMs: 4_000}, true],
  ['a nested call at its end', {nested: true, elapsedMs: 5_200}, false],
];
for (const [name, {nested, elapsedMs}, runs] of CASES) {
  test(`a call of a peer ${name} is ${runs ? 'run' : 'refused'}`, async t => {
    const clock = new runtime.ManualClock(10_000);
    const schedule = new stopSchedule.StopSchedule(LIMIT_MS);
    if (elapsedMs !== null) schedule.begin(clock.monotonicMs() - elapsedMs);
    let ran = false;
    const refusals: string[] = [];
    const handler = new peerRequestHandler.PeerRequestHandler({
      clock,
      service: 'parts',
      incarnation: 'incarnation-1',
      stopSchedule: schedule,
      startedCalls: {
        start: () => 'start',
        cancelIfNotStarted: () => 'cancelled',
      } as never,
      reporter: () => {
        throw new Error('No report is expected.');
      },
      local: {
        load: undefined,
        run: () => {
          ran = true;
          return Promise.resolve(targetCall.refusedResult('overloaded'));
        },
      } as unknown as localTarget.LocalTarget,
    });
    await handler.onCall({
      permissionValid: true,
      head: {
        service: 'parts',
        instance: 'instance-1',
        attempt: 1,
        nested,
        headers: [],
        context: {requestId: 'request-1', remainingMs: 1_000},
      },
      refuse: (reason: string) => refusals.push(reason),
    } as unknown as transport.IncomingCall);
    t.is(ran, runs);
    t.deepEqual(refusals, [runs ? 'overloaded' : 'targetLeaving']);
  });
}
