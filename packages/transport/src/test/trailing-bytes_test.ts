import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test from 'ava';
import * as fixture from './buffered-exchange-fixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const LENGTH = 'Content-Length: 5\r\n';
const CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n';

interface Framing {
  readonly response: string;
  readonly isReusable: boolean;
}

const RESPONSES: Readonly<Record<string, Framing>> = {
  'with a content length': {
    response: `${HEAD}${LENGTH}\r\nhello`,
    isReusable: true,
  },
  'chunked': {response: `${HEAD}${CHUNKS}`, isReusable: true},
  'without a body': {
    response: `${HEAD}Content-Length: 0\r\n\r\n`,
    isReusable: true,
  },
  'with status 204': {
    response: 'HTTP/1.1 204 No Content\r\n\r\n',
    isReusable: true,
  },
  'with connection: close': {
    response: `${HEAD}Connection: close\r\n${LENGTH}\r\nhello`,
    isReusable: false,
  },
  'chunked with connection: close': {
    response: `${HEAD}Connection: close\r\n${CHUNKS}`,
    isReusable: false,
  },
  'in HTTP/1.0': {
    response: `HTTP/1.0 200 OK\r\n${LENGTH}\r\nhello`,
    isReusable: false,
  },
  'with a short keep-alive time': {
    response: `${HEAD}Keep-Alive: timeout=1\r\n${LENGTH}\r\nhello`,
    isReusable: false,
  },
};

const STRAY_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull';

const TRAILING_BYTES: Readonly<Record<string, string>> = {
  'the first byte of a response': 'H',
  'a truncated response': STRAY_RESPONSE.slice(0, 30),
  'a whole response': STRAY_RESPONSE,
  'bytes that are not HTTP': 'x',
};

for (const [framing, {response, isReusable}] of Object.entries(RESPONSES)) {
  for (const [name, bytes] of Object.entries(TRAILING_BYTES)) {
    test(`${name} behind a response ${framing}: reported, connection closed`, async t => {
      // Guards against the reuse of a connection whose server sends more than
      // it was asked for, and against a refusal on it that counts as proof.
      const client = await fixture.startClient(
        t,
        createServer(response + bytes),
        {maximumConnections: 1},
      );
      const result = await client.send(fixture.REQUEST).result;
      t.is(result.kind, 'answer');
      t.true(result.kind === 'answer' && result.hasTrailingBytes);
      t.is(client.connectionCount, 0);
    });
  }

  test(`no bytes behind a response ${framing}: none reported`, async t => {
    // Guards against sound responses that count as suspect.
    const client = await fixture.startClient(t, createServer(response), {
      maximumConnections: 1,
    });
    for (const uses of isReusable ? [1, 2, 3] : [1, 1]) {
      const result = await client.send(fixture.REQUEST).result;
      t.is(result.kind, 'answer');
      if (result.kind !== 'answer') return;
      t.false(result.hasTrailingBytes);
      t.is(result.connection.uses, uses);
      t.is(client.connectionCount, isReusable ? 1 : 0);
    }
  });
}

test('the age of a connection counts from its opening', async t => {
  // Guards against logs that name the age of the request instead.
  let nowMs = 1_000;
  const client = await fixture.startClient(
    t,
    createServer(`${HEAD}${LENGTH}\r\nhello`),
    {maximumConnections: 1, nowMs: () => nowMs},
  );
  const ages = [];
  for (let index = 0; index < 3; index++) {
    const result = await client.send(fixture.REQUEST).result;
    ages.push(result.kind === 'answer' ? result.connection.ageMs : null);
    nowMs += 200;
  }
  t.deepEqual(ages, [0, 200, 400]);
});

// In the first turn the closed connection is still taken for an idle one.
for (const turns of [1, 2, 3]) {
  test(`a connection that replaces one closed ${turns} turns before counts as new`, async t => {
    // Guards against logs that name the age of a connection that has ended: the
    // library replaces it on its own.
    let nowMs = 1_000;
    const sockets: net.Socket[] = [];
    const server = createServer(`${HEAD}${LENGTH}\r\nhello`);
    server.on('connection', socket => sockets.push(socket));
    const client = await fixture.startClient(t, server, {
      maximumConnections: 1,
      nowMs: () => nowMs,
    });
    await client.send(fixture.REQUEST).result;
    nowMs += 200;
    sockets[0].end();
    for (let turn = 0; turn < turns; turn++) await timers.setImmediate();
    const {result} = client.send(fixture.REQUEST);
    nowMs += 300;
    const answer = await result;
    t.is(answer.kind, 'answer');
    t.is(sockets.length, 2);
    t.deepEqual(answer.kind === 'answer' && answer.connection, {
      uses: 1,
      ageMs: 0,
    });
  });
}

function createServer(response: string): net.Server {
  return net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(response));
  });
}
