import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as ava from 'ava';
import test from 'ava';
import * as bufferedFixture from './buffered-exchange-fixture.js';
import * as http from './http-fixture.js';
import * as fixture from './peer-fixture.js';

const REQUEST_ID = '9c41d07be2a35f68';
const OTHER_ID = '0b7d55a1c83e4f29';

const SOUND_RESPONSE =
  'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello';

/** Written up to a position, before the response to the present request. */
const REFUSALS: Readonly<Record<string, (id: string) => string>> = {
  'a refusal with a content length': id =>
    'HTTP/1.1 503 Service Unavailable\r\n' +
    'Content-Type: text/plain\r\n' +
    `Camphorwharf-Request-Id: ${id}\r\n` +
    'X-Not-Run: 1\r\n' +
    'Retry-After: 0.4\r\n' +
    'Content-Length: 4\r\n\r\nfull',
  'a chunked refusal with a trailer': id =>
    'HTTP/1.1 429 Too Many Requests\r\n' +
    'Transfer-Encoding: chunked\r\n' +
    'X-Not-Run: 1\r\n' +
    `Camphorwharf-Request-Id: ${id}\r\n` +
    'Connection: keep-alive\r\n\r\n' +
    '4\r\nfull\r\n0\r\nX-Checksum: 77a1\r\n\r\n',
  'a misdirected response after an interim one': id =>
    'HTTP/1.1 102 Processing\r\nX-Progress: 5\r\n\r\n' +
    'HTTP/1.1 421 Misdirected Request\r\n' +
    'X-Own-Instance: i-02d9e6b4\r\n' +
    'X-Not-Run: 1\r\n' +
    `Camphorwharf-Request-Id: ${id}\r\n` +
    'Content-Length: 0\r\n' +
    'Date: Sun, 06 Dec 2026 14:52:00 GMT\r\n' +
    'Via: HTTP/1.1 proxy\r\n\r\n',
};

/** Responses to the present request, which has run unless refused. */
const RESPONSES: Readonly<Record<string, string>> = {
  'a success':
    'HTTP/1.1 200 OK\r\n' +
    `Camphorwharf-Request-Id: ${REQUEST_ID}\r\n` +
    'X-Proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\n' +
    'Content-Length: 6\r\n\r\nbooked',
  'a success without a body':
    'HTTP/1.1 200 OK\r\n' +
    `Camphorwharf-Request-Id: ${REQUEST_ID}\r\n` +
    'X-Proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\n' +
    'Content-Length: 0\r\n\r\n',
  'a chunked failure':
    'HTTP/1.1 500 Internal Server Error\r\n' +
    `Camphorwharf-Request-Id: ${REQUEST_ID}\r\n` +
    'Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n',
  'a refusal':
    'HTTP/1.1 503 Service Unavailable\r\n' +
    `Camphorwharf-Request-Id: ${REQUEST_ID}\r\n` +
    'X-Not-Run: 1\r\n' +
    'Content-Length: 0\r\n\r\n',
};

/** Answers the first request of a connection, then writes `texts` in turn. */
function createServer(texts: readonly string[]): net.Server {
  return net.createServer(socket => {
    let requests = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests++;
      if (requests === 1) {
        socket.write(SOUND_RESPONSE);
        return;
      }
      const [first, ...others] = texts;
      socket.write(first);
      for (const [index, text] of others.entries()) {
        setTimeout(() => socket.write(text), 5 * (index + 1));
      }
      // Ends exchanges whose response stays incomplete.
      setTimeout(() => socket.end(), 5 * texts.length);
    });
  });
}

/** What a client makes of the response to the second request. */
interface Delivery {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [string, string]>;
  readonly hasTrailingBytes: boolean;
}

/** Resolves with null if no response was delivered. */
type SecondExchange = (
  t: ava.ExecutionContext,
  texts: readonly string[],
) => Promise<Delivery | null>;

const CLIENTS: Readonly<Record<string, SecondExchange>> = {
  buffered: async (t, texts) => {
    const server = createServer(texts);
    const client = await bufferedFixture.startClient(t, server, {
      maximumConnections: 1,
    });
    await client.send(bufferedFixture.REQUEST).result;
    const result = await client.send(bufferedFixture.REQUEST).result;
    client.destroy();
    server.close();
    if (result.kind !== 'answer') {
      t.is(result.kind, 'lost');
      t.is(client.connectionCount, 0);
      return null;
    }
    t.is(result.connection.uses, 2);
    return result;
  },
  streaming: async (t, texts) => {
    const server = createServer(texts);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const client = http.backendClient(
      (server.address() as net.AddressInfo).port,
    );
    const first = await client.send(http.backendRequest());
    if (first.kind === 'answer') await fixture.readAll(first.body);
    // The pool reuses a connection only after the end of its event loop turn.
    await timers.setTimeout(2);
    const result = await client.send(http.backendRequest());
    server.close();
    if (result.kind !== 'answer') t.is(result.kind, 'lost');
    else await fixture.readAll(result.body).catch(() => undefined);
    await client.destroy();
    if (result.kind !== 'answer') return null;
    return {...result, hasTrailingBytes: true};
  },
};

/** The heads of the responses that `text` holds, without hop-by-hop headers. */
function headsOf(text: string): string[] {
  return text
    .split('\r\n\r\n')
    .filter(part => part.startsWith('HTTP/1.1 '))
    .map(part => {
      const [statusLine, ...lines] = part.split('\r\n');
      return describe(
        Number(statusLine.split(' ')[1]),
        lines.map(line => line.split(': ', 2) as [string, string]),
      );
    });
}

function describe(
  status: number,
  headers: ReadonlyArray<readonly [string, string]>,
): string {
  const endToEnd = headers.filter(
    ([name]) =>
      !/^(connection|content-length|transfer-encoding|keep-alive)$/i.test(name),
  );
  return JSON.stringify([status, endToEnd]);
}

const COMPLETE_INTERIM_RESPONSE =
  /^HTTP\/1\.1 102 Processing\r\nX-Progress: 5\r\n\r\n$/;

/** Returns a description of the fault, or null. */
async function findFault(
  t: ava.ExecutionContext,
  exchange: SecondExchange,
  refusal: string,
  response: string,
  cut: number,
  isSplit: boolean,
): Promise<string | null> {
  const before = refusal.slice(0, cut);
  const delivery = await exchange(
    t,
    isSplit ? [before, response] : [before + response],
  );
  if (!delivery) {
    return cut === 0 ? 'the only response was lost' : null;
  }
  const delivered = describe(delivery.status, delivery.headers);
  const isComplete = before === '' || COMPLETE_INTERIM_RESPONSE.test(before);
  if (isComplete && delivered === headsOf(response)[0]) return null;
  const isEarlierResponse = headsOf(refusal).includes(delivered);
  if (isEarlierResponse && (isSplit || delivery.hasTrailingBytes)) return null;
  return `${cut}: ${JSON.stringify(before.slice(-20))} ${delivered}`;
}

/** Bounds the sockets that are open at the same time. */
const PARALLEL_EXCHANGES = 25;

for (const [client, exchange] of Object.entries(CLIENTS)) {
  for (const [refusalName, createRefusal] of Object.entries(REFUSALS)) {
    for (const [responseName, response] of Object.entries(RESPONSES)) {
      for (const id of [REQUEST_ID, OTHER_ID]) {
        const isSameRequest = id === REQUEST_ID;
        // Writes of two segments take longer, and differ in few responses.
        const isSplit = !isSameRequest;
        test.serial(
          `${client} client: ${refusalName} of ${isSameRequest ? 'this' : 'another'} request, truncated anywhere, then ${responseName}`,
          async t => {
            // Guards against a request that has run but counts as refused, and
            // runs twice: its response continues the head of a refusal.
            const refusal = createRefusal(id);
            const faults: Array<string | null> = [];
            for (
              let cut = 0;
              cut <= refusal.length;
              cut += PARALLEL_EXCHANGES
            ) {
              const cuts = Array.from(
                {
                  length: Math.min(
                    PARALLEL_EXCHANGES,
                    refusal.length + 1 - cut,
                  ),
                },
                (_, index) => cut + index,
              );
              faults.push(
                ...(await Promise.all(
                  cuts.map(position =>
                    findFault(
                      t,
                      exchange,
                      refusal,
                      response,
                      position,
                      isSplit,
                    ),
                  ),
                )),
              );
            }
            const found = faults.filter(fault => fault !== null);
            t.log(`${found.length} of ${refusal.length + 1} positions`);
            t.deepEqual(found, []);
          },
        );
      }
    }
  }
}
