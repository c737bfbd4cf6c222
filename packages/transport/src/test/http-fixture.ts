import * as http from 'node:http';
import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '../index.js';
import * as fixture from './peer-fixture.js';

/** Responds with the body of the call. */
export async function echo(call: transport.CallerCall): Promise<void> {
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

/** Headers of a request after which the connection closes. */
export const CONNECTION_CLOSE = 'host: a\r\nconnection: close\r\n\r\n';

export interface RunningServer {
  readonly server: transport.CallerServer;
  readonly port: number;
  readonly metrics: runtime.Metrics;
}

export async function startCallerServer(
  handler: (call: transport.CallerCall) => Promise<void>,
  overrides: Partial<transport.CallerServerOptions> = {},
): Promise<RunningServer> {
  const metrics = new runtime.Metrics();
  const server = new transport.CallerServer({
    logger: runtime.silentLogger,
    metrics,
    handler,
    ...overrides,
  });
  const port = await server.listen(0, '127.0.0.1');
  return {server, port, metrics};
}

/**
 * Writes `input` to a raw socket and returns everything received until close.
 */
export function exchangeRaw(
  port: number,
  input: string,
): Promise<{readonly text: string; readonly reset: boolean}> {
  return new Promise(resolve => {
    const socket = net.connect({port, host: '127.0.0.1'});
    let text = '';
    let reset = false;
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => (reset = true));
    socket.on('close', () => resolve({text, reset}));
    socket.write(input, 'latin1');
  });
}

/** Starts a fake backend server with an HTTP handler. */
export async function startBackend(handler: http.RequestListener): Promise<{
  readonly server: http.Server;
  readonly port: number;
  close(): void;
}> {
  const server = http.createServer(handler);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    server,
    port: (server.address() as net.AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts a fake backend server whose output is written by the test. */
export async function startRawBackend(
  onConnection: (socket: net.Socket) => void,
): Promise<{readonly port: number; close(): void}> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as net.AddressInfo).port,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

export function backendClient(
  port: number,
  clock: runtime.Clock = new runtime.SystemClock(),
): transport.BackendServerClient {
  return new transport.BackendServerClient({
    clock,
    address: '127.0.0.1',
    port,
    connectTimeoutMs: 600_000,
  });
}

export function backendRequest(
  overrides: Partial<transport.BackendRequest> = {},
): transport.BackendRequest {
  return {
    method: 'GET',
    path: '/units',
    headers: [],
    body: null,
    contentLength: null,
    deadlineMs: 30_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}
