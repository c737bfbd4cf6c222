import type * as net from 'node:net';
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

test('each request to stop resolves once running requests are answered', async t => {
  // Guards against a second SIGTERM that ends the process at once and cuts all
  // requests: the platform sends one for the daemon and one for its target.
  const fixture = await helpers.startFleet(1, {idempotent: false});
  const [host] = fixture.hosts;
  host.handler = (request, response) =>
    void setTimeout(
      () => fixtures.sendValidResponse(request, response, 'whole'),
      800,
    );
  const events: string[] = [];
  const running = fixture
    .request(host, '/parts/7')
    .then(({body}) => events.push(body));
  await helpers.waitUntil(() => host.received.length > 0);
  const stops = ['first', 'second'].map(name =>
    host.daemon.stop().then(() => events.push(name)),
  );
  await Promise.all([running, ...stops]);
  fixture.close();
  t.deepEqual(events, ['whole', 'first', 'second']);
});

test('an upload that ends late in a stop is not forwarded', async t => {
  // Guards against a request that is read in time, forwarded when its body has
  // arrived, and cut off at the end of the stop.
  const fixture = await helpers.startFleet(1, {idempotent: false});
  const [host] = fixture.hosts;
  const upload = fixture.openConnection(host);
  upload.write(
    'POST /parts/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request: request-1\r\n' +
      'Authorization: Key key-1\r\nContent-Length: 4\r\n\r\nbo',
  );
  let received = '';
  upload.on('data', chunk => (received += String(chunk)));
  const closed = new Promise(resolve => upload.once('close', resolve));
  await helpers.waitUntil(() => host.daemon.runningRequests > 0);
  const stopped = host.daemon.stop();
  await new Promise(resolve => setTimeout(resolve, 2_900));
  upload.write('dy');
  await stopped;
  await closed;
  fixture.close();
  t.regex(received, /^HTTP\/1\.1 503 /);
  t.is(host.received.length, 0);
});

/**
 * Guards against requests that are forwarded late in a stop and cut off at its
 * end: clients send on one connection until it closes.
 */
const CLIENTS = {
  'one request at a time': {row: 1, workMs: 50},
  'requests of a second': {row: 1, workMs: 1_000},
  'rows of three requests': {row: 3, workMs: 50},
  'rows of three requests of a second': {row: 3, workMs: 1_000},
};
for (const [name, {row, workMs}] of Object.entries(CLIENTS)) {
  test(`no forwarded request is cut off by a stop: ${name}`, async t => {
    const fixture = await helpers.startFleet(1);
    const [host] = fixture.hosts;
    host.handler = (request, response) =>
      void setTimeout(
        () => fixtures.sendValidResponse(request, response, 'whole'),
        workMs,
      );
    const answered = new Set<string>();
    let sent = 0;
    const sendRow = (connection: net.Socket) => {
      for (let index = 0; index < row; index++) {
        connection.write(
          `GET /parts/${++sent} HTTP/1.1\r\nHost: shop.example\r\n` +
            `X-Request: ${sent}\r\nX-Remaining: 3000\r\n` +
            'Authorization: Key key-1\r\n\r\n',
        );
      }
    };
    const runClient = async () => {
      const connection = fixture.openConnection(host);
      let text = '';
      let isClosed = false;
      connection.on('close', () => (isClosed = true));
      connection.on('data', chunk => {
        text += String(chunk);
        for (const [, id] of text.matchAll(/x-request: (\d+)\r\n/gi)) {
          answered.add(id);
        }
      });
      while (!isClosed) {
        const last = sent + row;
        sendRow(connection);
        await helpers.waitUntil(() => isClosed || answered.has(String(last)));
      }
    };
    // Not before the first row has been forwarded: of a row that is read in a
    // stop, only the first request is begun.
    const stopAt = new Promise(resolve => setTimeout(resolve, 300)).then(() =>
      helpers.waitUntil(() => host.received.length >= row),
    );
    const stopped = stopAt.then(() => host.daemon.stop());
    let isStopped = false;
    void stopped.then(() => (isStopped = true));
    while (!isStopped) {
      await runClient();
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    fixture.close();
    const forwarded = host.received.map(({headers}) =>
      String(headers['x-request']),
    );
    t.true(forwarded.length > row);
    t.deepEqual(
      forwarded.filter(id => !answered.has(id)),
      [],
    );
  });
}

interface PeerCallCase {
  /** Positions of the hosts; that with the lower address opens connections. */
  readonly entry: number;
  readonly target: number;
  /** Hosts that stop, in this order. */
  readonly stopping: ReadonlyArray<'entry' | 'target'>;
  /** Whether the backend server sends a request of its own late in the stop. */
  readonly isNested?: boolean;
}

const PEER_CALL_WORK_MS = 3_400;
const PEER_CALL_DEADLINE_MS = 5_000;
const NESTED_AFTER_MS = 3_000;

/** Guards against calls of peers that a stop cuts while they run. */
const PEER_CALLS: Readonly<Record<string, PeerCallCase>> = {
  'the target, over a connection that it accepted': {
    entry: 0,
    target: 1,
    stopping: ['target'],
  },
  'the target, over a connection that it opened': {
    entry: 1,
    target: 0,
    stopping: ['target'],
  },
  'the entry': {entry: 1, target: 0, stopping: ['entry']},
  'the entry, then the target': {
    entry: 1,
    target: 0,
    stopping: ['entry', 'target'],
  },
  'the target, then the entry': {
    entry: 0,
    target: 1,
    stopping: ['target', 'entry'],
  },
  'the target, whose backend server needs another one': {
    entry: 1,
    target: 0,
    stopping: ['target'],
    isNested: true,
  },
};
for (const [name, peerCallCase] of Object.entries(PEER_CALLS)) {
  test(`a call of a peer is completed when a host stops: ${name}`, async t => {
    const fixture = await helpers.startFleet(2, {
      idempotent: false,
      isPublic: true,
      timeoutMs: 5_000,
    });
    const entry = fixture.hosts[peerCallCase.entry];
    const target = fixture.hosts[peerCallCase.target];
    fixture.listServers([target]);
    const nestedStatuses: number[] = [];
    target.handler = (request, response) => {
      if (request.url === '/parts/nested') {
        fixtures.sendValidResponse(request, response, 'nested');
        return;
      }
      if (peerCallCase.isNested) {
        setTimeout(() => {
          fixture.listServers([entry]);
          void fixture
            .request(target, '/parts/nested', {
              headers: {
                'x-request': 'nested',
                // It expires with the request that makes it.
                'x-remaining': String(PEER_CALL_DEADLINE_MS - NESTED_AFTER_MS),
              },
              withoutKey: true,
            })
            .then(({status}) => nestedStatuses.push(status));
        }, NESTED_AFTER_MS);
      }
      setTimeout(
        () => fixtures.sendValidResponse(request, response, 'whole'),
        PEER_CALL_WORK_MS,
      );
    };
    const running = fixture.request(entry, '/parts/7', {
      headers: {'x-remaining': String(PEER_CALL_DEADLINE_MS)},
    });
    await helpers.waitUntil(() => target.received.length > 0);
    const hosts = {entry, target};
    const stops: Array<Promise<void>> = [];
    for (const role of peerCallCase.stopping) {
      stops.push(hosts[role].daemon.stop());
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    t.is((await running).body, 'whole');
    await Promise.all(stops);
    fixture.close();
    t.deepEqual(nestedStatuses, peerCallCase.isNested ? [200] : []);
  });
}
