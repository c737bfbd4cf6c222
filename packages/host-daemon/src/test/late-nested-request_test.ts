import test from 'ava';
import * as fixtures from './fleet-fixture.js';
import * as helpers from './test-helpers.js';

/** Time after the stop signal at which a backend server sends its request. */
const LATE_MS = 4_200;

/** Work of the request that runs when the stop begins, and until its end. */
const RUNNING_MS = 4_900;

/**
 * Guards against requests of a backend server that begin late in a stop and are
 * cut off at its end, among them requests that may run once (rule LOST, issue
 * 30). Shorter ones complete the requests that still run.
 */
const CASES: ReadonlyArray<
  readonly [string, {workMs: number; status: number; received: number}]
> = [
  ['one that takes too long', {workMs: 1_400, status: 503, received: 0}],
  ['one that is short', {workMs: 300, status: 200, received: 1}],
];
for (const [name, {workMs, status, received}] of CASES) {
  test(`a nested request late in a stop: ${name}`, async t => {
    const fixture = await helpers.startFleet(1, {
      idempotent: false,
      isPublic: true,
      objectiveMs: 500,
      timeoutMs: 5_000,
    });
    const [host] = fixture.hosts;
    host.handler = (request, response) =>
      void setTimeout(
        () => fixtures.sendValidResponse(request, response, 'whole'),
        request.url === '/parts/running' ? RUNNING_MS : workMs,
      );
    const send = (path: string) =>
      fixture.request(host, path, {
        headers: {'x-request': path, 'x-remaining': '5000'},
        withoutKey: true,
      });
    await send('/parts/earlier');
    const running = send('/parts/running');
    await helpers.waitUntil(() => host.received.length === 2);
    const stopped = host.daemon.stop();
    await new Promise(resolve => setTimeout(resolve, LATE_MS));
    const late = await send('/parts/late');
    t.is((await running).status, 200);
    await stopped;
    fixture.close();
    t.is(late.status, status);
    const paths = host.received.map(({path}) => path);
    t.is(paths.filter(path => path === '/parts/late').length, received);
  });
}
