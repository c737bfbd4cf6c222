import test from 'ava';
import * as steps from './fixture-steps.js';
import * as fixtures from './fleet-fixture.js';

test('a stop refuses what arrives too late to be finished', async t => {
  // Guards against a request that is begun after the departure of a daemon
  // and cut at the end of its stop.
  const fixture = await steps.fleet(1, {idempotent: false, timeoutMs: 5_000});
  const [host] = fixture.hosts;
  host.behaviour = (request, response) =>
    void setTimeout(
      () => fixtures.answerWell(request, response, 'whole'),
      3_300,
    );
  const longDeadline = {'x-remaining': '5000'};
  const running = fixture.request(host, '/parts/7', {headers: longDeadline});
  await steps.until(() => host.seen.length > 0);
  const stopped = host.daemon.stop();
  await new Promise(resolve => setTimeout(resolve, 2_900));
  const late = await fixture.request(host, '/parts/8', {
    headers: {...longDeadline, 'x-request': 'request-2'},
  });
  t.is(late.status, 503);
  t.is((await running).body, 'whole');
  await stopped;
  fixture.close();
  t.is(host.seen.length, 1);
});

test('a stop finishes what runs and takes no new work', async t => {
  const fixture = await steps.fleet(2, {idempotent: false});
  const [leaving, other] = fixture.hosts;
  fixture.list([leaving]);
  leaving.behaviour = (request, response) =>
    void setTimeout(() => fixtures.answerWell(request, response, 'whole'), 300);
  const running = fixture.request(other, '/parts/7');
  await steps.until(() => leaving.seen.length > 0);
  const stopped = leaving.daemon.stop();
  t.false(leaving.daemon.isReady);
  t.is((await running).body, 'whole');
  await stopped;
  fixture.close();
});
