import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as callerHttpServer from '../caller-http-server.js';
import * as clientLimits from '../client-limits.js';
import * as helpers from './test-helpers.js';

const MAXIMUM_HEADER_BYTES = 16_384;

const LIMITS = {
  maximumHeaderBytes: MAXIMUM_HEADER_BYTES,
  maximumBodyBytes: 1_000_000,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 10_000,
};

const START = 'GET / HTTP/1.1\r\nHost: a.example\r\n';

/** Pause between the writes of a client that goes on sending. */
const WRITE_INTERVAL_MS = 5;

/** The server of one test, with the requests that its handler has received. */
async function startServer(
  t: {teardown(end: () => void): void},
  handler: callerHttpServer.CallerHttpServerOptions['handler'],
  timeoutMs: number | null = null,
): Promise<callerHttpServer.CallerHttpServer> {
  const server = new callerHttpServer.CallerHttpServer({
    clock: new runtime.SystemClock(),
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
    bodyMemory: new transport.BodyMemory(),
    clientLimits: {
      ...clientLimits.DEFAULT_CLIENT_LIMITS,
      ...(timeoutMs === null ? {} : {requestMs: timeoutMs}),
    },
    handler,
  });
  server.applyLimits({
    ...LIMITS,
    headerTimeoutMs: timeoutMs ?? LIMITS.headerTimeoutMs,
  });
  await server.listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  return server;
}

/** A client that records what it receives and whether it is closed. */
class Client {
  received = '';
  isClosed = false;
  readonly socket: net.Socket;

  constructor(port: number, text: string) {
    this.socket = net.connect({
      port,
      host: '127.0.0.1',
      // The end of the server's direction does not end that of the client.
      allowHalfOpen: true,
    });
    this.socket.setEncoding('latin1');
    this.socket.on('data', (data: string) => (this.received += data));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    this.socket.write(text, 'latin1');
  }

  /** Statuses of the responses, in their order. */
  get statuses(): string {
    const lines = this.received.matchAll(/HTTP\/1\.1 (\d{3})/g);
    return [...lines].map(([, status]) => status).join(' ');
  }
}

interface ClosingCase {
  readonly name: string;
  readonly text: string;
  /** Sent again and again behind `text`. */
  readonly rest: string;
  readonly statuses: string;
}

/** Bytes that are no request close the connection (RFC 9112, section 9.2). */
const CLOSING_CASES: readonly ClosingCase[] = [
  {
    name: 'behind a request to upgrade the connection',
    text: `${START}Connection: Upgrade\r\nUpgrade: other\r\n\r\n`,
    rest: 'x'.repeat(1_024),
    statuses: '200',
  },
  {
    name: 'in place of a request',
    text: '\x00\x01\x02',
    rest: '\x00',
    statuses: '400',
  },
  {
    name: 'behind a request',
    text: `${START}\r\n\x00\x01\x02`,
    rest: '\x00',
    statuses: '200',
  },
];

for (const {name, text, rest, statuses} of CLOSING_CASES) {
  test(`bytes without end close the connection: ${name}`, async t => {
    // Guards against a connection whose input is read and dropped for ever.
    const server = await startServer(t, () =>
      Promise.resolve(callerHttpServer.adviceResponse(200, 'done')),
    );
    const client = new Client(server.port, text);
    const timer = setInterval(
      () => client.socket.write(rest, 'latin1'),
      WRITE_INTERVAL_MS,
    );
    t.teardown(() => {
      clearInterval(timer);
      client.socket.destroy();
    });
    await helpers.waitUntil(() => client.isClosed);
    t.is(client.statuses, statuses);
  });
}

function fields(count: number, value: string): string {
  let text = '';
  for (let index = 0; index < count; index++) {
    text += `x${String(index).padStart(4, '0')}: ${value}\r\n`;
  }
  return text;
}

interface HeaderCase {
  readonly name: string;
  /** Header section of a request, of which the end may be missing. */
  readonly text: string;
  readonly statuses: string;
  /** Number of fields of each request that the handler receives. */
  readonly fields: readonly number[];
}

const HEADER_CASES: readonly HeaderCase[] = [
  {
    name: '1,400 fields within the limit',
    text: `${START}${fields(1_400, 'a')}\r\n`,
    statuses: '200',
    fields: [1_401],
  },
  {
    name: 'one byte above the limit',
    text:
      `GET / HTTP/1.1\r\nHost: ` +
      `${'a'.repeat(MAXIMUM_HEADER_BYTES + 1 - 'Host: \r\n'.length)}\r\n\r\n`,
    statuses: '431',
    fields: [],
  },
  {
    name: 'at the limit',
    text:
      `GET / HTTP/1.1\r\nHost: ` +
      `${'a'.repeat(MAXIMUM_HEADER_BYTES - 'Host: \r\n'.length)}\r\n\r\n`,
    statuses: '200',
    fields: [1],
  },
  {
    name: 'above the limit, without an end',
    text: `${START}${fields(3_500, 'aaaa')}`,
    statuses: '431',
    fields: [],
  },
  {
    name: 'an unknown expectation',
    text: `${START}Expect: other\r\n\r\n`,
    statuses: '417',
    fields: [],
  },
];

for (const testCase of HEADER_CASES) {
  test(`header section: ${testCase.name}`, async t => {
    // Guards against fields that are silently dropped, and against a limit that
    // is checked only once the section has ended.
    const received: number[] = [];
    const server = await startServer(t, ({rawHeaders}) => {
      received.push(rawHeaders.length / 2);
      return Promise.resolve(callerHttpServer.adviceResponse(200, 'done'));
    });
    const client = new Client(server.port, testCase.text);
    t.teardown(() => client.socket.destroy());
    await helpers.waitUntil(() => client.received.includes('\r\n\r\n'));
    t.is(client.statuses, testCase.statuses);
    t.deepEqual(received, testCase.fields);
  });
}

test('a body that waits for earlier requests arrives as a whole', async t => {
  // Guards against losing a part of a body that is buffered before its request
  // starts: eight requests of a connection are processed at a time.
  const body = 'ab'.repeat(100_000);
  const answers: Array<() => void> = [];
  let received = '';
  const server = await startServer(t, async request => {
    if (request.method === 'GET') {
      await new Promise<void>(resolve => answers.push(resolve));
    } else {
      const result = await request.readBody(body.length);
      if (result.kind === 'body' && result.body instanceof Uint8Array) {
        received = Buffer.from(result.body).toString('latin1');
      }
    }
    return callerHttpServer.adviceResponse(200, 'done');
  });
  const chunks = '3\r\naba\r\n1\r\nb\r\n';
  const client = new Client(
    server.port,
    `${START}\r\n`.repeat(8) +
      'POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n' +
      chunks.repeat(50_000) +
      '0\r\n\r\n',
  );
  t.teardown(() => client.socket.destroy());
  await helpers.waitUntil(() => answers.length === 8);
  for (const answer of answers) answer();
  await helpers.waitUntil(() => client.statuses.split(' ').length === 9);
  t.is(received, body);
});

const CHUNKED_START =
  'POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n';

for (const [name, text] of [
  ['a body', `${CHUNKED_START}3\r\nabc\r\n`],
  ['trailers', `${CHUNKED_START}3\r\nabc\r\n0\r\nx-a: b\r\n`],
]) {
  test(`a request without the end of ${name} closes its connection`, async t => {
    // Guards against requests that occupy a connection for ever.
    const server = await startServer(
      t,
      async request => {
        await request.readBody(1_000);
        return callerHttpServer.adviceResponse(200, 'done');
      },
      200,
    );
    const client = new Client(server.port, text);
    t.teardown(() => client.socket.destroy());
    await helpers.waitUntil(() => client.isClosed);
    t.is(client.statuses, '');
  });
}
