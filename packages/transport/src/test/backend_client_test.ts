import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as http from './http-fixture.js';
import * as fixture from './peer-fixture.js';

test('a request is sent to the backend server without hop-by-hop headers', async t => {
  const backend = await http.startBackend((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const {headers, method, url} = request;
      response.setHeader('x-answer', ['one', 'two']);
      response.setHeader('keep-alive', 'timeout=9');
      response.end(
        JSON.stringify([
          method,
          url,
          headers['x-kept'] ?? null,
          headers['x-named'] ?? null,
          headers.te ?? null,
          headers['content-length'] ?? null,
          Buffer.concat(chunks).toString(),
        ]),
      );
    });
  });
  const client = http.backendClient(backend.port);
  const result = await client.send(
    http.backendRequest({
      method: 'POST',
      path: '/bookings?day=3',
      headers: [
        ['X-Kept', 'yes'],
        ['X-Named', 'no'],
        ['Connection', 'close, x-named'],
        ['TE', 'trailers'],
        ['Expect', '100-continue'],
        ['Content-Length', '999'],
      ],
      contentLength: 5,
      body: fixture.chunksOf('ab', 'cde'),
    }),
  );
  t.is(result.kind, 'answer');
  if (result.kind !== 'answer') return;
  const expected = ['POST', '/bookings?day=3', 'yes', null, null, '5', 'abcde'];
  t.deepEqual(
    JSON.parse((await fixture.readAll(result.body)).toString()),
    expected,
  );
  t.deepEqual(
    result.headers.filter(([name]) => name === 'x-answer'),
    [
      ['x-answer', 'one'],
      ['x-answer', 'two'],
    ],
  );
  t.false(result.headers.some(([name]) => /^(keep|conn)/i.test(name)));
  await client.destroy();
  backend.close();
});

const head = 'HTTP/1.1 200 OK\r\n';
const incompleteResponses = [
  {
    name: 'truncated before its declared length',
    raw: `${head}content-length: 9\r\n\r\nabc`,
  },
  {
    name: 'truncated in chunked encoding',
    raw: `${head}transfer-encoding: chunked\r\n\r\n5\r\nabc`,
  },
  {name: 'without a length', raw: `${head}connection: close\r\n\r\nabc`},
];
for (const {name, raw} of incompleteResponses) {
  test(`a response ${name} makes reading its body throw`, async t => {
    const backend = await http.startRawBackend(socket =>
      socket.once('data', () => socket.end(raw)),
    );
    const client = http.backendClient(backend.port);
    const result = await client.send(http.backendRequest());
    t.is(result.kind, 'answer');
    if (result.kind !== 'answer') return;
    await t.throwsAsync(fixture.readAll(result.body));
    await client.destroy();
    backend.close();
  });
}

const lostCases: ReadonlyArray<{
  name: string;
  method: string;
  onData: (socket: net.Socket) => void;
}> = [
  {name: 'closes', method: 'GET', onData: socket => socket.end()},
  {name: 'resets', method: 'GET', onData: socket => socket.resetAndDestroy()},
  {
    name: 'sends invalid HTTP',
    method: 'PUT',
    onData: socket => socket.end('?\r\n'),
  },
  {
    name: 'truncates the head',
    method: 'GET',
    onData: socket => socket.end(head),
  },
];
for (const {name, method, onData} of lostCases) {
  test(`a ${method} to a backend server that ${name} is lost and not retried`, async t => {
    let requests = 0;
    const backend = await http.startRawBackend(socket =>
      socket.once('data', () => {
        requests++;
        onData(socket);
      }),
    );
    const client = http.backendClient(backend.port);
    const result = await client.send(http.backendRequest({method}));
    t.is(result.kind, 'lost');
    t.is(requests, 1);
    await client.destroy();
    backend.close();
  });
}

test('a refused connection is reported as not sent', async t => {
  const backend = await http.startRawBackend(() => undefined);
  backend.close();
  const client = http.backendClient(backend.port);
  const result = await client.send(http.backendRequest({method: 'POST'}));
  t.is(result.kind, 'notSent');
  await client.destroy();
});

test('a request without a response is lost at the deadline', async t => {
  const clock = new runtime.ManualClock();
  const requested: Array<() => void> = [];
  const closed: Array<() => void> = [];
  const once = (list: Array<() => void>) =>
    new Promise<void>(resolve => list.push(resolve));
  const backend = await http.startRawBackend(socket => {
    socket.once('data', () => requested.shift()?.());
    socket.once('close', () => closed.shift()?.());
  });
  const client = http.backendClient(backend.port, clock);
  let started = once(requested);
  const sawClose = once(closed);
  const sending = client.send(http.backendRequest({deadlineMs: 50}));
  await started;
  await clock.advance(50);
  const result = await sending;
  t.true(
    result.kind === 'lost' && result.error instanceof runtime.TimeoutError,
  );
  await sawClose;
  started = once(requested);
  const probing = client.probe('/health', 600_000);
  await started;
  await clock.advance(600_000);
  await t.throwsAsync(probing, {instanceOf: runtime.TimeoutError});
  await client.destroy();
  backend.close();
});

test('an abort before or after the response head closes the connection', async t => {
  const closes: Array<() => void> = [];
  const closed = [0, 1].map(
    () => new Promise<void>(resolve => closes.push(resolve)),
  );
  let requested!: () => void;
  const sawRequest = new Promise<void>(resolve => (requested = resolve));
  const backend = await http.startBackend((request, response) => {
    response.on('close', () => closes.shift()?.());
    if (request.url === '/slow') requested();
    else response.write('first');
  });
  const client = http.backendClient(backend.port);
  const before = new AbortController();
  const slow = client.send(
    http.backendRequest({path: '/slow', signal: before.signal}),
  );
  await sawRequest;
  before.abort();
  t.is((await slow).kind, 'lost');
  await closed[0];
  const after = new AbortController();
  const result = await client.send(http.backendRequest({signal: after.signal}));
  t.is(result.kind, 'answer');
  if (result.kind !== 'answer') return;
  await result.body[Symbol.asyncIterator]().next();
  after.abort();
  await t.throwsAsync(fixture.readAll(result.body), {
    instanceOf: runtime.ConnectionError,
  });
  await closed[1];
  t.is(
    (await client.send(http.backendRequest({signal: after.signal}))).kind,
    'notSent',
  );
  await client.destroy();
  backend.close();
});

test('a probe returns the response from a new connection', async t => {
  const backend = await http.startBackend((request, response) => {
    response.writeHead(503, {'x-load': '0.7'}).end(`at ${request.url}`);
  });
  const client = http.backendClient(backend.port);
  const response = await client.probe('/health', 30_000);
  t.is(response.status, 503);
  t.is(response.body, 'at /health');
  await client.destroy();
  backend.close();
});
