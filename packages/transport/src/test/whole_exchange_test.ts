import * as net from 'node:net';
import test from 'ava';
import * as fixture from './whole-exchange-fixture.js';

const BUFFERED_BYTES = 1024 * 1024;

const CHUNK = 'x'.repeat(16 * 1024);

interface Flood {
  readonly first: string;
  /** Sent again and again until the connection closes. */
  readonly repeated: string;
}

/**
 * Guards against servers in trouble that send until their caller closes:
 * without a bound they take the memory of the process.
 */
const FLOODS: Readonly<Record<string, Flood>> = {
  'a body in chunks': {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    repeated: `4000\r\n${CHUNK}\r\n`,
  },
  'a body without a length': {
    first: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    repeated: CHUNK,
  },
  'interim heads': {
    first: '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  'a head': {
    first: 'HTTP/1.1 200 OK\r\n',
    repeated: 'X-Filler: ' + 'y'.repeat(1_000) + '\r\n',
  },
  'bytes that are no answer': {first: '', repeated: CHUNK},
};
for (const [name, flood] of Object.entries(FLOODS)) {
  test(`the exchange ends by itself when a server never ends ${name}`, async t => {
    let sentBytes = 0;
    const server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.write(flood.first);
      const more = () => {
        while (!socket.destroyed && socket.write(flood.repeated)) {
          sentBytes += flood.repeated.length;
        }
      };
      socket.on('drain', more);
      socket.once('data', more);
    });
    const client = await fixture.clientOf(t, server, {
      maximumConnections: 4,
      maximumBufferedBytes: BUFFERED_BYTES,
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

test('finished answers give their memory back', async t => {
  // Guards against a bound that fills up with answers that have ended.
  const body = 'x'.repeat(BUFFERED_BYTES / 2);
  const server = net.createServer(socket =>
    socket.on('data', () =>
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ),
    ),
  );
  const client = await fixture.clientOf(t, server, {
    maximumConnections: 1,
    maximumBufferedBytes: BUFFERED_BYTES,
  });
  for (let index = 0; index < 6; index++) {
    t.is((await client.send(fixture.REQUEST).result).kind, 'answer');
  }
});
