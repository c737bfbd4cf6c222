import test from 'ava';
import * as fixtures from './fleet-fixture.js';
import * as helpers from './test-helpers.js';

/** Time after the stop signal at which a backend server sends its request. */
const LATE_MS = 4_200;

/** Work of the request that runs when the stop begins, and until its end. */
const RUNNING_MS = 4_900;

/** Deadline of that request, from about the stop signal. */
const RUNNING_DEADLINE_MS = 5_000;

/** Requests of the route that end before the stop. */
interface EarlierRequests {
  readonly count: number;
  readonly workMs: number;
}

interface LateCase {
  readonly earlier: EarlierRequests;
  /** Deadline that the late request carries. */
  readonly deadlineMs: number;
  readonly workMs: number;
  readonly status: number;
  /** Number of times that the backend server receives it. */
  readonly received: number;
}

const MANY_SHORT: EarlierRequests = {count: 30, workMs: 20};

/** What a backend server states whose own request ends at its deadline. */
const PARENT_DEADLINE_MS = RUNNING_DEADLINE_MS - LATE_MS;

/**
 * Guards against requests of a backend server that begin late in a stop and are
 * cut off at its end, among them requests that may run once (rule LOST, issue
 * 30, review/8): whatever requests of the route have taken before. Those that
 * end before the stop in any case complete the requests that still run.
 */
const CASES: Readonly<Record<string, LateCase>> = {
  'one that takes too long': {
    earlier: {count: 1, workMs: 1_400},
    deadlineMs: 5_000,
    workMs: 1_400,
    status: 503,
    received: 0,
  },
  'one that takes longer than all before it': {
    earlier: MANY_SHORT,
    deadlineMs: 4_500,
    workMs: 1_300,
    status: 503,
    received: 0,
  },
  'the first of its route': {
    earlier: {count: 0, workMs: 0},
    deadlineMs: 4_500,
    workMs: 1_300,
    status: 503,
    received: 0,
  },
  'one that is short': {
    earlier: {count: 1, workMs: 300},
    deadlineMs: PARENT_DEADLINE_MS,
    workMs: 300,
    status: 200,
    received: 1,
  },
  'one that outlasts its deadline': {
    earlier: MANY_SHORT,
    deadlineMs: PARENT_DEADLINE_MS,
    workMs: 1_300,
    status: 502,
    received: 1,
  },
};
for (const [name, lateCase] of Object.entries(CASES)) {
  test(`a nested request late in a stop: ${name}`, async t => {
    const {earlier, deadlineMs, status, received} = lateCase;
    const fixture = await startFleet(1);
    const [host] = fixture.hosts;
    const work: Readonly<Record<string, number>> = {
      '/parts/running': RUNNING_MS,
      '/parts/late': lateCase.workMs,
    };
    host.handler = (request, response) =>
      void setTimeout(
        () => fixtures.sendValidResponse(request, response, 'whole'),
        work[request.url ?? ''] ?? earlier.workMs,
      );
    for (let count = 0; count < earlier.count; count++) {
      await send(fixture, host, `/parts/earlier-${count}`, 5_000);
    }
    const running = send(fixture, host, '/parts/running', RUNNING_DEADLINE_MS);
    await helpers.waitUntil(() => host.received.length === earlier.count + 1);
    const stopped = host.daemon.stop();
    await delay(LATE_MS);
    const late = await send(fixture, host, '/parts/late', deadlineMs);
    t.is((await running).status, 200);
    await stopped;
    fixture.close();
    t.is(late.status, status);
    const paths = host.received.map(({path}) => path);
    t.is(paths.filter(path => path === '/parts/late').length, received);
  });
}

/** Time between the stop of the called host and that of the calling one. */
const STOP_INTERVAL_MS = 600;

test('a nested request late in two stops is refused where the stop is over first', async t => {
  // Guards against a call that a daemon begins late in its own stop for a host
  // that has more time left.
  const fixture = await startFleet(2);
  const [caller, called] = fixture.hosts;
  const handler: typeof caller.handler = (request, response) =>
    void setTimeout(
      () => fixtures.sendValidResponse(request, response, 'whole'),
      request.url === '/parts/running' ? RUNNING_MS : 300,
    );
  for (const host of fixture.hosts) host.handler = handler;
  // Each host runs a request until the end of its stop.
  const running: Array<Promise<fixtures.FixtureResponse>> = [];
  for (const host of [called, caller]) {
    fixture.listServers([host]);
    running.push(send(fixture, host, '/parts/running', RUNNING_DEADLINE_MS));
    await helpers.waitUntil(() => host.received.length === 1);
  }
  fixture.listServers([called]);
  const stops = [called.daemon.stop()];
  await delay(STOP_INTERVAL_MS);
  stops.push(caller.daemon.stop());
  await delay(LATE_MS);
  const late = await send(fixture, caller, '/parts/late', PARENT_DEADLINE_MS);
  await Promise.all([...running, ...stops]);
  fixture.close();
  t.is(late.status, 503);
  t.deepEqual(
    called.received.map(({path}) => path),
    ['/parts/running'],
  );
});

/** A fleet whose route has requests that may run once and need no key. */
function startFleet(count: number): Promise<fixtures.FleetFixture> {
  return helpers.startFleet(count, {
    idempotent: false,
    isPublic: true,
    objectiveMs: 500,
    timeoutMs: 5_000,
  });
}

function send(
  fixture: fixtures.FleetFixture,
  host: fixtures.FixtureHost,
  path: string,
  deadlineMs: number,
): Promise<fixtures.FixtureResponse> {
  return fixture.request(host, path, {
    headers: {'x-request': path, 'x-remaining': String(deadlineMs)},
    withoutKey: true,
  });
}

function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
