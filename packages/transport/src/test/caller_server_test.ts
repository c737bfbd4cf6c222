import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as http from './http-fixture.js';
import * as fixture from './peer-fixture.js';

const requestCases = [
  {
    name: 'a plain request',
    raw: `GET /a?b=c HTTP/1.1\r\n${http.CONNECTION_CLOSE}`,
    status: 200,
  },
  {
    name: 'a body with a content length',
    raw: `POST /a HTTP/1.1\r\ncontent-length: 2\r\n${http.CONNECTION_CLOSE}hi`,
    status: 200,
  },
  {
    name: 'a chunked body',
    raw: `POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n${http.CONNECTION_CLOSE}2\r\nhi\r\n0\r\n\r\n`,
    status: 200,
  },
  {
    name: 'a repeated authorization header',
    raw: `GET / HTTP/1.1\r\nauthorization: a\r\nAuthorization: b\r\n${http.CONNECTION_CLOSE}`,
    status: 400,
  },
  {
    name: 'a repeated idempotency key',
    raw: `GET / HTTP/1.1\r\nidempotency-key: a\r\nidempotency-key: a\r\n${http.CONNECTION_CLOSE}`,
    status: 400,
  },
  {
    name: 'a repeated camphorwharf header',
    raw: `GET / HTTP/1.1\r\ncamphorwharf-timeout-ms: 1\r\nCamphorwharf-Timeout-Ms: 1\r\n${http.CONNECTION_CLOSE}`,
    status: 400,
  },
  {
    name: 'two content lengths',
    raw: `POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n${http.CONNECTION_CLOSE}hi`,
    status: 400,
  },
  {
    name: 'a content length with chunked encoding',
    raw: `POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n${http.CONNECTION_CLOSE}0\r\n\r\n`,
    status: 400,
  },
  {
    name: 'more than 100 headers',
    raw: `GET / HTTP/1.1\r\n${'x: 1\r\n'.repeat(100)}${http.CONNECTION_CLOSE}`,
    status: 400,
  },
  {
    name: 'more than 16 KB of headers',
    raw: `GET / HTTP/1.1\r\nx: ${'y'.repeat(17_500)}\r\n${http.CONNECTION_CLOSE}`,
    status: 431,
  },
  {
    name: 'a request target in absolute form',
    raw: `GET http://a/b HTTP/1.1\r\n${http.CONNECTION_CLOSE}`,
    status: 404,
  },
  {
    name: 'input that is not HTTP',
    raw: '\x16\x03\x01\x02\r\n\r\n',
    status: 400,
  },
];
for (const {name, raw, status} of requestCases) {
  test(`${name} gets status ${status}`, async t => {
    let handled = 0;
    const {server, port} = await http.startCallerServer(call => {
      handled++;
      return http.echo(call);
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

const invalidBodies: ReadonlyArray<{
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
  throw new runtime.ProtocolError('truncated');
}
for (const {name, version, contentLength, body} of invalidBodies) {
  test(`a response body that is ${name} resets the connection`, async t => {
    const {server, port} = await http.startCallerServer(call =>
      call.respond({status: 200, headers: [], contentLength, body: body()}),
    );
    const {text, reset} = await http.exchangeRaw(
      port,
      `GET / HTTP/${version}\r\n${http.CONNECTION_CLOSE}`,
    );
    t.true(reset);
    t.false(text.includes('abcdef') || text.includes('\r\n0\r\n'));
    await server.stop();
  });
}

test('respondOutcome works after a body that fails before its first byte', async t => {
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
    t.false(call.headersSent);
    await call.respondOutcome({kind: 'unknown', reason: 'answerTruncated'}, [
      ['x-id', '7'],
    ]);
  });
  const {text} = await http.exchangeRaw(
    port,
    `GET / HTTP/1.1\r\n${http.CONNECTION_CLOSE}`,
  );
  t.regex(text, /^HTTP\/1\.1 502 /);
  t.regex(text, /camphorwharf-outcome: unknown\r\n/);
  t.regex(text, /camphorwharf-reason: answerTruncated\r\n/);
  t.regex(text, /x-id: 7\r\n/);
  t.is(JSON.parse(text.split('\r\n\r\n')[1]).outcome, 'unknown');
  await server.stop();
});
