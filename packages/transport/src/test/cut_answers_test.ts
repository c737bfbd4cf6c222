import * as net from 'node:net';
import test from 'ava';
import type * as wholeHandler from '../whole-handler.js';
import * as fixture from './whole-exchange-fixture.js';

const STATUS = 'HTTP/1.1 200 OK\r\n';
const CHUNKS = 'Transfer-Encoding: chunked\r\n';
const CLOSE = 'Connection: close\r\n';
const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n';

/** Complete answers; each proper prefix of them is an answer that was cut. */
const ANSWERS: Readonly<Record<string, string>> = {
  'with a length': `${STATUS}Content-Length: 12\r\n\r\nhello, world`,
  'with a length, on a connection that closes': `${STATUS}${CLOSE}Content-Length: 12\r\n\r\nhello, world`,
  'in chunks': `${STATUS}${CHUNKS}\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n`,
  'in chunks, on a connection that closes': `${STATUS}${CLOSE}${CHUNKS}\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n`,
  'after an interim head': `${INTERIM}${STATUS}Content-Length: 12\r\n\r\nhello, world`,
  'in chunks, as of HTTP/1.0': `HTTP/1.0 200 OK\r\n${CHUNKS}\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n`,
};

type Ending = 'closes' | 'resets';

/** Answers the nth request of each connection with the nth text, then ends. */
function serverOf(texts: readonly string[], ending: Ending): net.Server {
  return net.createServer(socket => {
    let answered = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(texts[answered++] ?? '');
      if (answered < texts.length) return;
      if (ending === 'closes') socket.end();
      // A reset at once could discard the bytes before they are read.
      else setTimeout(() => socket.resetAndDestroy(), 5);
    });
  });
}

for (const [name, answer] of Object.entries(ANSWERS)) {
  for (const ending of ['closes', 'resets'] as const) {
    test(`no part of an answer passes for a whole one: ${name}, the server ${ending}`, async t => {
      // Guards against a cut answer that clients get with success and a
      // shorter body (MIXED), wherever the cut lies.
      const kinds = await Promise.all(
        Array.from(answer, async (_, length) => {
          const server = serverOf([answer.slice(0, length)], ending);
          const client = await fixture.clientOf(t, server, {
            maximumConnections: 1,
          });
          return (await client.send(fixture.REQUEST).result).kind;
        }),
      );
      const passed = kinds.flatMap((kind, length) =>
        kind === 'answer' ? [JSON.stringify(answer.slice(0, length))] : [],
      );
      t.deepEqual(passed, []);
    });
  }

  test(`the whole answer passes: ${name}`, async t => {
    const client = await fixture.clientOf(t, serverOf([answer], 'closes'), {
      maximumConnections: 1,
    });
    const result = await client.send(fixture.REQUEST).result;
    t.is(result.kind, 'answer');
    t.is(bodyOf(result), 'hello, world');
  });
}

test('a head that is cut on a kept connection passes for no answer', async t => {
  // Guards against a parser that keeps the status of the answer before.
  const [whole] = Object.values(ANSWERS);
  const kinds = await Promise.all(
    Array.from(whole, async (_, length) => {
      const server = serverOf([whole, whole.slice(0, length)], 'closes');
      const client = await fixture.clientOf(t, server, {
        maximumConnections: 1,
      });
      await client.send(fixture.REQUEST).result;
      return (await client.send(fixture.REQUEST).result).kind;
    }),
  );
  t.false(kinds.includes('answer'));
});

function bodyOf(result: wholeHandler.WholeResult): string {
  return result.kind === 'answer' ? Buffer.from(result.body).toString() : '';
}
