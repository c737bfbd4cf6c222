import test from 'ava';
import * as helpers from './test-helpers.js';
import * as fixtures from './fleet-fixture.js';

test('a stopping daemon refuses requests that it cannot complete in time', async t => {
  // Guards against accepting a request after the grace period of a stop and
  // cutting it off at the end of the stop.
  const fixture = await helpers.startFleet(1, {
    idempotent: false,
    timeoutMs: 5_000,
  });
  const [host] = fixture.hosts;
  host.handler = (request, response) =>
    void setTimeout(
      () => fixtures.sendValidResponse(request, response, 'whole'),
      3_300,
    );
  const longDeadline = {'x-remaining': '5000'};
  const running = fixture.request(host, '/parts/7', {headers: longDeadline});
  await helpers.waitUntil(() => host.received.length > 0);
  const stopped = host.daemon.stop();
  await new Promise(resolve => setTimeout(resolve, 2_900));
  const late = await fixture.request(host, '/parts/8', {
    headers: {...longDeadline, 'x-request': 'request-2'},
  });
  t.is(late.status, 503);
  t.is((await running).body, 'whole');
  await stopped;
  fixture.close();
  t.is(host.received.length, 1);
});

test('a stopping daemon completes running requests and is not ready', async t => {
  const fixture = await helpers.startFleet(2, {idempotent: false});
  const [leaving, other] = fixture.hosts;
  fixture.listServers([leaving]);
  leaving.handler = (request, response) =>
    void setTimeout(
      () => fixtures.sendValidResponse(request, response, 'whole'),
      300,
    );
  const running = fixture.request(other, '/parts/7');
  await helpers.waitUntil(() => leaving.received.length > 0);
  const stopped = leaving.daemon.stop();
  t.false(leaving.daemon.isReady);
  t.is((await running).body, 'whole');
  await stopped;
  fixture.close();
});
