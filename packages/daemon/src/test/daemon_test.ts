import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as standIns from '@camphorwharf/stand-ins';
import test from 'ava';
import type * as ava from 'ava';
import * as http from 'node:http';
import * as net from 'node:net';
import * as daemons from '../index.js';
import * as callerClient from './caller-client.js';
import * as fixture from './declaration-fixture.js';

const LARGE_BYTES = 20 * 1024 * 1024;

interface TestDaemon {
  readonly daemon: daemons.Daemon;
  readonly platform: standIns.PlatformStandIn;
  readonly callerPort: number;
}

/** Returns unused ports; binds them all at once, so that they are distinct. */
async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(servers.map(server => new Promise(r => server.close(r))));
  return ports;
}

function listen(server: net.Server): Promise<number> {
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () =>
      resolve((server.address() as net.AddressInfo).port),
    ),
  );
}

/** Starts a daemon for the backend server and waits until it serves calls. */
async function startDaemon(
  t: ava.ExecutionContext,
  backendPort: number,
): Promise<TestDaemon> {
  const platform = new standIns.PlatformStandIn();
  const platformPort = await platform.listen();
  t.teardown(() => platform.close());
  const [callerPort, peerPort, operatorPort] = await freePorts(3);
  const settings = daemons.parseSettings(
    `
host_id = "host-1"
region = "r"
availability_zone = "a"
service = "parts"
[listen]
address = "127.0.0.1"
caller_port = ${callerPort}
peer_port = ${peerPort}
operator_port = ${operatorPort}
[backend_server]
address = "127.0.0.1"
port = ${backendPort}
[platform]
url = "http://127.0.0.1:${platformPort}"
`,
    'daemon.toml',
  );
  publishDocument(platform, 1);
  platform.publishHosts([
    {
      hostId: 'host-1',
      address: '127.0.0.1',
      peerPort,
      callerPort,
      service: 'parts',
      region: 'r',
      availabilityZone: 'a',
      state: 'live',
    },
  ]);
  const daemon = new daemons.Daemon(settings, {
    clock: new runtime.SystemClock(),
    random: new runtime.SeededRandom(11),
    logger: runtime.silentLogger,
  });
  await daemon.start();
  t.teardown(async () => {
    daemon.beginStop();
    await daemon.stopped;
  });
  await callerClient.waitUntil(async () => daemon.ready);
  // The token bucket of a new owner is empty, so the first calls are refused.
  await callerClient.waitUntil(async () => {
    const response = await callerClient.call(callerPort, '/parts/items/0', {
      headers: callerClient.KEY_HEADERS,
    });
    return response.status === 200;
  });
  return {daemon, platform, callerPort};
}

function publishDocument(
  platform: standIns.PlatformStandIn,
  revision: number,
  key?: string,
): void {
  const document = fixture.document(revision, key);
  platform.publishDocument(revision, declaration.serializeDocument(document));
}

async function startBackendServer(
  t: ava.ExecutionContext,
  options: Partial<standIns.BackendServerStandInOptions> = {},
): Promise<{backendServer: standIns.BackendServerStandIn; port: number}> {
  const backendServer = new standIns.BackendServerStandIn({
    service: 'parts',
    slots: 50,
    connectionLimit: 100,
    serviceTimeMs: 1,
    seed: 5,
    ...options,
  });
  const port = await backendServer.listen();
  t.teardown(() => backendServer.close());
  return {backendServer, port};
}

test('daemon: answers calls, checks keys, detects duplicates and applies key revocation', async t => {
  // Guards against wrong responses, against calls that run without a valid key
  // or twice, and against a key that stays usable after its revocation, also on
  // a connection that was opened before.
  const {backendServer, port} = await startBackendServer(t);
  const {callerPort, platform} = await startDaemon(t, port);
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());

  const first = await callerClient.call(callerPort, '/parts/items/1?a=b', {
    headers: {
      ...callerClient.KEY_HEADERS,
      'camphorwharf-organisation': 'forged',
    },
    agent,
  });
  t.like(first, {status: 200, outcome: 'completed', complete: true});
  t.like(JSON.parse(first.body.toString()), {
    service: 'parts',
    method: 'GET',
    path: '/items/1?a=b',
  });

  const started = backendServer.report().started;
  for (const headers of [{}, {authorization: 'Bearer other'}]) {
    const response = await callerClient.call(callerPort, '/parts/items/1', {
      headers,
    });
    t.like(response, {status: 401, outcome: 'not-run'});
  }
  t.is(
    backendServer.report().started,
    started,
    'a refused call does not reach the backend server',
  );

  const key = `${new runtime.SystemClock().wallMs()}-order`;
  const order = {
    method: 'POST',
    headers: {...callerClient.KEY_HEADERS, 'idempotency-key': key},
    body: Buffer.from('one'),
  };
  const ordered = await callerClient.call(callerPort, '/parts/orders', order);
  t.like(ordered, {status: 200, outcome: 'completed'});
  const repeated = await callerClient.call(callerPort, '/parts/orders', order);
  t.like(repeated, {status: 409, outcome: 'unknown'});
  const differing = {...order, body: Buffer.from('two')};
  const reused = await callerClient.call(
    callerPort,
    '/parts/orders',
    differing,
  );
  t.like(reused, {status: 422, outcome: 'not-run'});
  t.deepEqual(backendServer.report().runsPerIdempotencyKey, {
    [`shop|${key}`]: 1,
  });

  publishDocument(platform, 2, 'another-key');
  let refused: callerClient.ReceivedResponse | null = null;
  await callerClient.waitUntil(async () => {
    refused = await callerClient.call(callerPort, '/parts/items/1', {
      headers: callerClient.KEY_HEADERS,
      agent,
    });
    return refused.status !== 200;
  });
  t.like(refused, {status: 401, localPort: first.localPort});
  const replaced = {authorization: 'Bearer another-key'};
  const renewed = await callerClient.call(callerPort, '/parts/items/1', {
    headers: replaced,
  });
  t.is(renewed.status, 200);
  t.false(backendServer.report().sawAuthorization);
});

test('daemon: guards against large bodies that are cut or changed', async t => {
  const {port} = await startBackendServer(t, {answerBytes: LARGE_BYTES});
  const {callerPort} = await startDaemon(t, port);
  const body = Buffer.alloc(LARGE_BYTES, 'camphorwharf');
  const response = await callerClient.call(callerPort, '/parts/orders', {
    method: 'POST',
    headers: callerClient.KEY_HEADERS,
    body,
  });
  t.like(response, {status: 200, outcome: 'completed', complete: true});
  const report = JSON.parse(response.body.toString()) as Record<string, string>;
  t.is(report['bodyDigest'], runtime.sha256Hex(body));
  t.is(report['filler'].length, LARGE_BYTES);
});

/** Ways in which a backend server truncates its response. */
const TRUNCATIONS: ReadonlyArray<
  readonly [string, (response: http.ServerResponse) => void]
> = [
  [
    'partial body with content length',
    response => {
      response.writeHead(200, {'content-length': 100_000});
      response.write('x'.repeat(50_000), () => response.destroy());
    },
  ],
  [
    'chunked body without the last chunk',
    response => {
      response.writeHead(200);
      response.write('x'.repeat(50_000), () => response.destroy());
    },
  ],
  [
    'headers only',
    response => {
      response.writeHead(200, {'content-length': 10});
      response.flushHeaders();
      response.destroy();
    },
  ],
  ['no headers', response => response.destroy()],
];

test('daemon: never reports a truncated response as complete', async t => {
  // Guards against callers that take a part of a response for the whole.
  const server = http.createServer((request, response) => {
    const index = /^\/orders\/(\d)$/.exec(request.url ?? '')?.[1];
    if (index === undefined) response.end('{}');
    else TRUNCATIONS[Number(index)][1](response);
  });
  const port = await listen(server);
  t.teardown(() => new Promise<void>(r => server.close(() => r())));
  t.teardown(() => server.closeAllConnections());
  const {callerPort} = await startDaemon(t, port);
  for (const [index, [name]] of TRUNCATIONS.entries()) {
    const response = await callerClient
      .call(callerPort, `/parts/orders/${index}`, {
        method: 'POST',
        headers: callerClient.KEY_HEADERS,
      })
      .catch(() => null);
    // Valid results: connection error, truncated response or unknown outcome.
    const cut = response === null || !response.complete;
    t.true(cut || response.outcome === 'unknown', name);
  }
});

test('daemon: a planned stop completes running calls', async t => {
  // Guards against a planned stop that cuts calls.
  const {backendServer, port} = await startBackendServer(t, {
    serviceTimeMs: 400,
    sigma: 0,
  });
  const {callerPort, daemon} = await startDaemon(t, port);
  const before = backendServer.report().started;
  const running = Array.from({length: 5}, () =>
    callerClient.callUntilStarted(callerPort),
  );
  await callerClient.waitUntil(
    async () => backendServer.report().started >= before + 5,
  );
  daemon.beginStop();
  t.false(daemon.ready);
  for (const response of await Promise.all(running)) {
    t.like(response, {status: 200, outcome: 'completed', complete: true});
  }
  t.true(await daemon.stopped);
  t.is(backendServer.report().cancelled, 0);
  await t.throwsAsync(callerClient.call(callerPort, '/parts/public'), {
    code: 'ECONNREFUSED',
  });
});
