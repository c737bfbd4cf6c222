import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as callerHttpServer from '../caller-http-server.js';

/** How long the event loop is blocked, in milliseconds. */
const BLOCKED_MS = 300;

/** A request that has not been cancelled by then never will be. */
const TIMEOUT_MS = 2_000;

const REQUESTS = {
  'without a body': 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n',
  'with a body':
    'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody',
};

/** Sends and closes from a worker thread while the main thread is blocked. */
const CLIENT = `
  const net = require('node:net');
  const {parentPort, workerData} = require('node:worker_threads');
  const socket = net.connect(workerData.port, '127.0.0.1', () => {
    parentPort.on('message', () => socket.end(workerData.text));
    parentPort.postMessage('connected');
  });
  socket.on('error', () => undefined);
`;

for (const [name, text] of Object.entries(REQUESTS)) {
  // Guards against forwarding requests of disconnected clients: the request and
  // the end of its connection arrive while the event loop is blocked.
  test(`a lagging process detects a client disconnect: request ${name}`, async t => {
    const aborted = new Promise<boolean>(resolve => {
      void startServer(async request => {
        await request.readBody(1_000);
        await transport.untilInputRead();
        resolve(request.signal.aborted);
        return null;
      }).then(server => {
        const client = new workerThreads.Worker(CLIENT, {
          eval: true,
          workerData: {port: server.port, text},
        });
        client.once('message', () => {
          client.postMessage('send');
          Atomics.wait(
            new Int32Array(new SharedArrayBuffer(4)),
            0,
            0,
            BLOCKED_MS,
          );
        });
        t.teardown(async () => {
          server.close();
          await client.terminate();
        });
      });
    });
    t.true(await aborted);
  });
}

/**
 * Guards against work for a client that has disconnected with several requests
 * on one connection, where the end of the connection cancels only one of them.
 */
const PIPELINED: ReadonlyArray<readonly [string, number]> = [
  ['while both are running', 0],
  ['after the first has been answered', 1],
];
for (const [name, answered] of PIPELINED) {
  test(`the end of a connection cancels all its requests ${name}`, async t => {
    const signals: runtime.CancelSignal[] = [];
    let arrived!: () => void;
    const both = new Promise<void>(resolve => (arrived = resolve));
    const server = await startServer(async request => {
      const number = signals.push(request.signal);
      if (number === 2) arrived();
      // Ensures that both requests have arrived before the first is answered.
      await both;
      if (number <= answered) return callerHttpServer.adviceResponse(200, '');
      return new Promise(() => undefined);
    });
    t.teardown(() => server.close());
    const client = net.connect(server.port, '127.0.0.1');
    client.on('error', () => undefined);
    client.write(REQUESTS['without a body'].repeat(2));
    await both;
    if (answered > 0) {
      await new Promise(resolve => client.once('data', resolve));
    }
    const remaining = signals.slice(answered).map(
      signal =>
        new Promise<void>(resolve => {
          if (signal.aborted) resolve();
          else signal.addEventListener('abort', resolve);
        }),
    );
    client.end();
    const timeout = new Promise<string>(resolve =>
      setTimeout(() => resolve('still running'), TIMEOUT_MS),
    );
    const cancelled = Promise.all(remaining).then(() => 'cancelled');
    t.is(await Promise.race([cancelled, timeout]), 'cancelled');
  });
}

async function startServer(
  handler: callerHttpServer.CallerHttpServerOptions['handler'],
): Promise<callerHttpServer.CallerHttpServer> {
  const server = new callerHttpServer.CallerHttpServer({
    clock: new runtime.SystemClock(),
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
    bodyMemory: new transport.BodyMemory(),
    handler,
  });
  await server.listen(0, '127.0.0.1');
  return server;
}
