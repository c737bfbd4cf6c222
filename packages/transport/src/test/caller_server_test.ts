import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as transport from '../index.js';
import * as http from './http-fixture.js';
import * as fixture from './peer-fixture.js';

async function echo(call: transport.CallerCall): Promise<void> {
  const body = call.body ? await fixture.readAll(call.body) : Buffer.from('-');
  await call.respond({
    status: 200,
    headers: [
      ['x-path', call.path],
      ['camphorwharf-outcome', 'forged'],
    ],
    contentLength: body.length,
    body: fixture.chunksOf(body),
  });
}

const END = 'host: a\r\nconnection: close\r\n\r\n';
const requestCases = [
  {name: 'a plain request', raw: `GET /a?b=c HTTP/1.1\r\n${END}`, status: 200},
  {
    name: 'a declared body',
    raw: `POST /a HTTP/1.1\r\ncontent-length: 2\r\n${END}hi`,
    status: 200,
  },
  {
    name: 'a chunked body',
    raw: `POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n${END}2\r\nhi\r\n0\r\n\r\n`,
    status: 200,
  },
  {
    name: 'a repeated authorization header',
    raw: `GET / HTTP/1.1\r\nauthorization: a\r\nAuthorization: b\r\n${END}`,
    status: 400,
  },
  {
    name: 'a repeated idempotency key',
    raw: `GET / HTTP/1.1\r\nidempotency-key: a\r\nidempotency-key: a\r\n${END}`,
    status: 400,
  },
  {
    name: 'a repeated header of the product',
    raw: `GET / HTTP/1.1\r\ncamphorwharf-timeout-ms: 1\r\nCamphorwharf-Timeout-Ms: 1\r\n${END}`,
    status: 400,
  },
  {
    name: 'two content lengths',
    raw: `POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n${END}hi`,
    status: 400,
  },
  {
    name: 'a content length with chunked coding',
    raw: `POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n${END}0\r\n\r\n`,
    status: 400,
  },
  {
    name: 'more than 100 headers',
    raw: `GET / HTTP/1.1\r\n${'x: 1\r\n'.repeat(100)}${END}`,
    status: 400,
  },
  {
    name: 'more than 16 KB of headers',
    raw: `GET / HTTP/1.1\r\nx: ${'y'.repeat(17_500)}\r\n${END}`,
    status: 431,
  },
  {
    name: 'a target in absolute form',
    raw: `GET http://a/b HTTP/1.1\r\n${END}`,
    status: 404,
  },
  {
    name: 'bytes that are no HTTP',
    raw: '\x16\x03\x01\x02\r\n\r\n',
    status: 400,
  },
];
for (const {name, raw, status} of requestCases) {
  test(`${name} gets status ${status}`, async t => {
    let handled = 0;
    const {server, port} = await http.startCallerServer(call => {
      handled++;
      return echo(call);
    });
    const {text} = await http.exchangeRaw(port, raw);
    t.true(text.startsWith(`HTTP/1.1 ${status} `), text.slice(0, 200));
    t.is(handled, status === 200 ? 1 : 0);
    const outcome = status === 200 ? 'completed' : 'not-run';
    t.deepEqual(text.match(/camphorwharf-outcome: .*/g), [
      `camphorwharf-outcome: ${outcome}\r`.trimEnd(),
    ]);
    await server.stop();
  });
}

const brokenBodies: ReadonlyArray<{
  name: string;
  version: string;
  contentLength: number | null;
  body: () => AsyncIterable<Uint8Array>;
}> = [
  {
    name: 'too short',
    version: '1.1',
    contentLength: 9,
    body: () => fixture.chunksOf('abc'),
  },
  {
    name: 'too long',
    version: '1.1',
    contentLength: 5,
    body: () => fixture.chunksOf('abc', 'def'),
  },
  {name: 'failing', version: '1.1', contentLength: null, body: failing},
  {
    name: 'failing for HTTP/1.0',
    version: '1.0',
    contentLength: null,
    body: failing,
  },
];
async function* failing(): AsyncGenerator<Uint8Array, void, void> {
  yield Buffer.from('abc');
  throw new runtime.ProtocolError('cut');
}
for (const {name, version, contentLength, body} of brokenBodies) {
  test(`a body that is ${name} resets the caller's connection`, async t => {
    const {server, port} = await http.startCallerServer(call =>
      call.respond({status: 200, headers: [], contentLength, body: body()}),
    );
    const {text, reset} = await http.exchangeRaw(
      port,
      `GET / HTTP/${version}\r\n${END}`,
    );
    t.true(reset);
    t.false(text.includes('abcdef') || text.includes('\r\n0\r\n'));
    await server.stop();
  });
}

test('a body that fails at once leaves an outcome possible', async t => {
  const {server, port} = await http.startCallerServer(async call => {
    const source = failing();
    await source.next();
    await t.throwsAsync(
      call.respond({
        status: 200,
        headers: [],
        contentLength: null,
        body: source,
      }),
    );
    t.false(call.headSent);
    await call.respondOutcome({kind: 'unknown', reason: 'answerTruncated'}, [
      ['x-id', '7'],
    ]);
  });
  const {text} = await http.exchangeRaw(port, `GET / HTTP/1.1\r\n${END}`);
  t.regex(text, /^HTTP\/1\.1 502 /);
  t.regex(text, /camphorwharf-outcome: unknown\r\n/);
  t.regex(text, /camphorwharf-reason: answerTruncated\r\n/);
  t.regex(text, /x-id: 7\r\n/);
  t.is(JSON.parse(text.split('\r\n\r\n')[1]).outcome, 'unknown');
  await server.stop();
});

test('connections above the limit get status 503 and are closed', async t => {
  const {server, port, metrics} = await http.startCallerServer(echo, {
    maximumConnections: 1,
  });
  const first = dial(port);
  first.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\n');
  await emitted(first, 'data');
  const {text} = await http.exchangeRaw(port, `GET / HTTP/1.1\r\n${END}`);
  t.true(text.startsWith('HTTP/1.1 503 '), text);
  const cause = 'connectionLimit';
  const refused = 'caller_requests_refused_total';
  t.is(await fixture.counter(metrics, refused, {cause}), 1);
  first.destroy();
  await emitted(first, 'close');
  while (server.connectionCount > 0) await turn();
  const again = await http.exchangeRaw(port, `GET / HTTP/1.1\r\n${END}`);
  t.true(again.text.startsWith('HTTP/1.1 200 '));
  await server.stop();
});

const slowInputs = [
  {
    name: 'sends nothing',
    raw: '',
    options: {headersTimeoutMs: 50},
    answer: 'HTTP/1.1 408 Request Timeout',
  },
  {
    name: 'stops in its headers',
    raw: 'GET / HTTP/1.1\r\nhost: a\r\nx:',
    options: {headersTimeoutMs: 50},
    answer: 'HTTP/1.1 408 Request Timeout',
  },
  {
    name: 'stops in its body',
    raw: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc',
    options: {headersTimeoutMs: 50, requestTimeoutMs: 60},
    answer: '',
  },
  {
    name: 'is idle after an answer',
    raw: 'GET / HTTP/1.1\r\nhost: a\r\n\r\n',
    options: {idleTimeoutMs: 50},
    answer: 'HTTP/1.1 200 OK',
  },
];
for (const {name, raw, options, answer} of slowInputs) {
  test(`a caller that ${name} is closed`, async t => {
    const {server, port} = await http.startCallerServer(echo, options);
    const {text} = await http.exchangeRaw(port, raw);
    t.is(text.split('\r\n')[0], answer);
    await server.stop();
  });
}

test('a caller that goes away aborts the call and its body', async t => {
  let report!: (value: unknown) => void;
  const reported = new Promise<unknown>(resolve => (report = resolve));
  const {server, port} = await http.startCallerServer(async call => {
    const error = await t.throwsAsync(fixture.readAll(call.body!));
    report([error instanceof runtime.ConnectionError, call.signal.aborted]);
  });
  const socket = dial(port);
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc');
  setImmediate(() => socket.end());
  t.deepEqual(await reported, [true, true]);
  await server.stop();
});

test('a caller that leaves during the answer stops its source', async t => {
  let returned!: () => void;
  const sourceLeft = new Promise<void>(resolve => (returned = resolve));
  async function* endless(): AsyncGenerator<Uint8Array, void, void> {
    try {
      for (;;) yield Buffer.alloc(65_536);
    } finally {
      returned();
    }
  }
  const {server, port} = await http.startCallerServer(call =>
    call.respond({
      status: 200,
      headers: [],
      contentLength: null,
      body: endless(),
    }),
  );
  const socket = dial(port);
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await emitted(socket, 'data');
  socket.destroy();
  await sourceLeft;
  await server.stop();
  t.pass();
});

test('stop finishes running calls and closes idle connections', async t => {
  let finish!: () => void;
  const finished = new Promise<void>(resolve => (finish = resolve));
  let started!: () => void;
  const running = new Promise<void>(resolve => (started = resolve));
  const {server, port} = await http.startCallerServer(async call => {
    if (call.path === '/slow') {
      started();
      await finished;
    }
    await echo(call);
  });
  const idle = http.exchangeRaw(port, 'GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  const slow = http.exchangeRaw(port, 'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n');
  await running;
  const stopped = server.stop();
  t.regex((await idle).text, /^HTTP\/1.1 200 /);
  finish();
  const {text} = await slow;
  t.regex(text, /^HTTP\/1.1 200 /);
  t.regex(text, /connection: close\r\n/i);
  t.true(text.endsWith('\r\n\r\n-'));
  await stopped;
  t.true((await http.exchangeRaw(port, 'x')).reset);
});

test('20 MB pass through server and client both ways in bounded memory', async t => {
  const total = 20 * 1024 * 1024;
  const lead = {produced: 0, largest: 0};
  const backend = await http.startBackend((request, response) => {
    response.writeHead(200, {'content-length': total});
    request.pipe(response);
  });
  const client = http.backendClient(backend.port);
  const {server, port} = await http.startCallerServer(async call => {
    const result = await client.send(
      http.backendRequest({
        method: call.method,
        headers: call.headers,
        body: call.body,
        contentLength: call.contentLength,
        signal: call.signal,
      }),
    );
    if (result.kind !== 'answer') throw new Error(result.kind);
    await call.respond(result);
  });
  const socket = dial(port);
  socket.write(`POST / HTTP/1.1\r\ncontent-length: ${total}\r\n${END}`);
  const piece = Buffer.alloc(64 * 1024, 'p');
  const sending = (async () => {
    while (lead.produced < total) {
      lead.produced += piece.length;
      if (!socket.write(piece)) await emitted(socket, 'drain');
    }
  })();
  let received = 0;
  let chunks = 0;
  for await (const chunk of socket) {
    received += (chunk as Buffer).length;
    lead.largest = Math.max(lead.largest, lead.produced - received);
    if (++chunks % 16 === 0) await turn();
  }
  await sending;
  const head = received - total;
  t.true(head > 0 && head < 1_000, `${head} bytes besides the body`);
  // Kernel buffers of six sockets are part of the lead.
  t.true(lead.largest < total * 0.9, `lead of ${lead.largest} bytes`);
  await server.stop();
  await client.destroy();
  backend.close();
});

function dial(port: number): net.Socket {
  const socket = net.connect({port, host: '127.0.0.1'});
  return socket.on('error', () => undefined);
}

function emitted(socket: net.Socket, event: string): Promise<void> {
  return new Promise(resolve => socket.once(event, () => resolve()));
}

function turn(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1));
}
