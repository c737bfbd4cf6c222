import test from 'ava';
import * as net from 'node:net';
import * as http from './http-fixture.js';

/** Pause between the writes of a client that goes on sending. */
const WRITE_INTERVAL_MS = 5;

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly text: string;
  readonly status: string;
}> = [
  {
    name: 'behind a request to upgrade the connection',
    text: 'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: b\r\n\r\n',
    status: 'HTTP/1.1 200 ',
  },
  {
    name: 'in place of a request',
    text: '\x00\x01',
    status: 'HTTP/1.1 400 ',
  },
];

for (const {name, text, status} of CASES) {
  test(`bytes without end close the connection: ${name}`, async t => {
    // Guards against a connection whose input is read and dropped for ever.
    const {server, port} = await http.startCallerServer(http.echo);
    t.teardown(() => server.destroy());
    const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
    let received = '';
    socket.on('data', data => (received += data.toString('latin1')));
    socket.on('error', () => undefined);
    socket.write(text, 'latin1');
    const timer = setInterval(
      () => socket.write('\x00', 'latin1'),
      WRITE_INTERVAL_MS,
    );
    t.teardown(() => {
      clearInterval(timer);
      socket.destroy();
    });
    await new Promise(resolve => socket.once('close', resolve));
    t.true(received.startsWith(status));
    t.is(received.match(/HTTP\/1\.1 \d/g)?.length, 1);
  });
}
