import * as net from 'node:net';
import test from 'ava';
import * as bodyMemory from '../body-memory.js';
import * as fixture from './buffered-exchange-fixture.js';

const BUFFERED_BYTES = 1024 * 1024;

const CHUNK = 'x'.repeat(16 * 1024);

interface EndlessOutput {
  readonly first: string;
  /** Sent again and again until the connection closes. */
  readonly repeated: string;
}

/**
 * Guards against running out of memory when a malfunctioning server sends data
 * until its client closes the connection.
 */
const ENDLESS_OUTPUTS: Readonly<Record<string, EndlessOutput>> = {
  'a chunked body': {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    repeated: `4000\r\n${CHUNK}\r\n`,
  },
  'a body without a content length': {
    first: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    repeated: CHUNK,
  },
  'interim responses': {
    first: '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  'the headers': {
    first: 'HTTP/1.1 200 OK\r\n',
    repeated: 'X-Filler: ' + 'y'.repeat(1_000) + '\r\n',
  },
  'bytes that are not HTTP': {first: '', repeated: CHUNK},
};
for (const [name, output] of Object.entries(ENDLESS_OUTPUTS)) {
  test(`an exchange fails when the server endlessly sends ${name}`, async t => {
    let sentBytes = 0;
    const server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.write(output.first);
      const writeMore = () => {
        while (!socket.destroyed && socket.write(output.repeated)) {
          sentBytes += output.repeated.length;
        }
      };
      socket.on('drain', writeMore);
      socket.once('data', writeMore);
    });
    const client = await fixture.startClient(t, server, {
      maximumConnections: 4,
      bodyMemory: new bodyMemory.BodyMemory(BUFFERED_BYTES),
    });
    const exchanges = Array.from({length: 4}, () =>
      client.send(fixture.REQUEST),
    );
    for (const exchange of exchanges) {
      t.is((await exchange.result).kind, 'lost');
    }
    t.is(client.connectionCount, 0);
    t.log(`${sentBytes} bytes sent`);
  });
}

test('completed responses release their buffer budget', async t => {
  // Guards against a budget that is used up by completed responses.
  const body = 'x'.repeat(BUFFERED_BYTES / 2);
  const server = net.createServer(socket =>
    socket.on('data', () =>
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ),
    ),
  );
  const client = await fixture.startClient(t, server, {
    maximumConnections: 1,
    bodyMemory: new bodyMemory.BodyMemory(BUFFERED_BYTES),
  });
  for (let index = 0; index < 6; index++) {
    t.is((await client.send(fixture.REQUEST).result).kind, 'answer');
  }
});
