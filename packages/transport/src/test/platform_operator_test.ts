import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as transport from '../index.js';
import * as http from './http-fixture.js';

const large = 'x'.repeat(1024 * 1024 + 1);
const readCases: ReadonlyArray<{
  name: string;
  status: number;
  body: string;
  read: 'readDocument' | 'readHosts';
  expected: transport.PlatformValue | 'unchanged' | typeof runtime.BaseError;
}> = [
  {
    name: 'a document in a string',
    status: 200,
    body: '{"revision":7,"document":"{\\"a\\": 1}"}',
    read: 'readDocument',
    expected: {revision: 7, text: '{"a": 1}'},
  },
  {
    name: 'a list as embedded JSON',
    status: 200,
    body: '{"revision":8,"hosts":[{"hostId":"a"}]}',
    read: 'readHosts',
    expected: {revision: 8, text: '[{"hostId":"a"}]'},
  },
  {
    name: 'no change',
    status: 304,
    body: '',
    read: 'readHosts',
    expected: 'unchanged',
  },
  {
    name: 'a document above 1 MB',
    status: 200,
    body: JSON.stringify({revision: 1, document: large}),
    read: 'readDocument',
    expected: runtime.ProtocolError,
  },
  {
    name: 'a negative revision',
    status: 200,
    body: '{"revision":-1,"document":"{}"}',
    read: 'readDocument',
    expected: runtime.ProtocolError,
  },
  {
    name: 'a value under another name',
    status: 200,
    body: '{"revision":1,"hosts":[]}',
    read: 'readDocument',
    expected: runtime.ProtocolError,
  },
  {
    name: 'text that is not JSON',
    status: 200,
    body: '<html>',
    read: 'readHosts',
    expected: runtime.ProtocolError,
  },
  {
    name: 'an error status',
    status: 500,
    body: 'broken',
    read: 'readDocument',
    expected: runtime.ConnectionError,
  },
];
for (const {name, status, body, read, expected} of readCases) {
  test(`PlatformClient: the platform returns ${name}`, async t => {
    const urls: Array<string | undefined> = [];
    const backend = await http.startBackend((request, response) => {
      urls.push(request.url);
      response.writeHead(status).end(body);
    });
    const client = platformClient(backend.port);
    const reading = client[read](6, 250, new AbortController().signal);
    if (typeof expected === 'function') {
      await t.throwsAsync(reading, {instanceOf: expected});
    } else t.deepEqual(await reading, expected);
    const name = read === 'readHosts' ? 'hosts' : 'document';
    t.deepEqual(urls, [`/v1/${name}?wait=250&after=6`]);
    await client.close();
    backend.close();
  });
}

test('PlatformClient: an unresponsive or unreachable platform throws typed errors', async t => {
  const backend = await http.startRawBackend(socket => socket.resume());
  const clock = new runtime.ManualClock();
  const client = platformClient(backend.port, clock);
  const {signal} = new AbortController();
  const reading = client.readDocument(null, 1_000, signal);
  await clock.advance(60_000);
  await t.throwsAsync(reading, {instanceOf: runtime.TimeoutError});
  backend.close();
  await t.throwsAsync(client.readHosts(null, 0, signal), {
    instanceOf: runtime.ConnectionError,
  });
  await t.throwsAsync(client.readHosts(null, 0, AbortSignal.abort()), {
    instanceOf: runtime.ConnectionError,
  });
  await client.close();
});

function platformClient(
  port: number,
  clock: runtime.Clock = new runtime.SystemClock(),
): transport.PlatformClient {
  const origin = `http://127.0.0.1:${port}`;
  return new transport.PlatformClient({clock, origin});
}

const operatorCases = [
  {request: 'GET /livez', status: 200, text: 'alive'},
  {request: 'GET /readyz', status: 503, text: 'Not ready'},
  {request: 'GET /metrics', status: 200, text: 'camphorwharf_x 1'},
  {request: 'GET /status?full', status: 200, text: '"revision": 3'},
  {request: 'POST /drain', status: 202, text: 'Draining', drains: 1},
  {request: 'GET /drain', status: 405, text: 'Use POST for /drain'},
  {request: 'DELETE /status', status: 405, text: 'Use GET, HEAD for /status'},
  {request: 'GET /__proto__', status: 404, text: 'Use one of /livez'},
];
for (const {request, status, text, drains = 0} of operatorCases) {
  test(`OperatorServer: ${request} returns ${status}`, async t => {
    let drained = 0;
    const server = new transport.OperatorServer({
      logger: runtime.silentLogger,
      handlers: {
        alive: () => true,
        ready: () => false,
        metrics: async () => 'camphorwharf_x 1\n',
        status: () => ({revision: 3}),
        drain: () => drained++,
      },
    });
    const port = await server.listen(0, '127.0.0.1');
    const response = await http.exchangeRaw(
      port,
      `${request} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`,
    );
    t.true(response.text.startsWith(`HTTP/1.1 ${status} `), response.text);
    t.true(response.text.includes(text), response.text);
    t.is(drained, drains);
    await server.stop();
  });
}
