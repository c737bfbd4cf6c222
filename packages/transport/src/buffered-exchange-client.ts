import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as bodyMemory from './body-memory.js';
import * as httpHeaders from './http-headers.js';
import * as bufferedExchangeHandler from './buffered-exchange-handler.js';

/** Ample: connecting to a process on the same host takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Idle connections close after this time, or earlier on request of the server.
 */
const IDLE_TIMEOUT_MS = 8_000;

export interface BufferedExchangeOptions {
  readonly address: string;
  readonly port: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Connection limit; requests beyond it result in `notSent`. */
  readonly maximumConnections: () => number;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory?: bodyMemory.BodyMemory;
}

interface Connection {
  readonly client: undici.Client;
  socket: net.Socket | null;
  idleSinceMs: number;
}

/**
 * HTTP client of packages/host-daemon for the local backend server, which
 * returns whole responses. `BackendServerClient`, for packages/daemon, streams
 * them. A connection carries one request at a time; the most recently used idle one
 * is reused first. A connection closes after any error, so that stray bytes are
 * never taken for the response to a later request. Requests are never retried.
 */
export class BufferedExchangeClient {
  private readonly idleConnections: Connection[] = [];
  private readonly connections = new Set<Connection>();
  private readonly origin: string;
  private readonly memory: bodyMemory.BodyMemory;

  constructor(private readonly options: BufferedExchangeOptions) {
    this.memory = options.bodyMemory ?? new bodyMemory.BodyMemory();
    this.origin = `http://${options.address}:${options.port}`;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts an exchange, whose result never rejects. */
  send(
    request: bufferedExchangeHandler.BufferedExchangeRequest,
  ): bufferedExchangeHandler.BufferedExchange {
    const connection = this.acquire(request.maximumIdleMs);
    if (!connection) {
      const error = new runtime.ConnectionError(
        'The connection limit is reached. Send fewer requests at once.',
      );
      return {
        result: Promise.resolve({kind: 'notSent', error}),
        cancel: () => undefined,
      };
    }
    const handler = new bufferedExchangeHandler.BufferedExchangeHandler(
      () => connection.socket,
      reusable => this.release(connection, reusable),
      this.memory,
    );
    handler.start(connection.client, request);
    return handler;
  }

  /** Closes all connections immediately. */
  destroy(): void {
    for (const connection of [...this.connections]) this.close(connection);
  }

  private acquire(maximumIdleMs: number): Connection | null {
    const nowMs = this.options.nowMs();
    for (;;) {
      const connection = this.idleConnections.pop();
      if (!connection) break;
      if (
        connection.socket &&
        !connection.socket.destroyed &&
        nowMs - connection.idleSinceMs <= maximumIdleMs
      ) {
        return connection;
      }
      this.close(connection);
    }
    if (this.connections.size >= this.options.maximumConnections()) return null;
    return this.open();
  }

  private open(): Connection {
    const connect = undici.buildConnector({timeout: CONNECT_TIMEOUT_MS});
    const connection: Connection = {
      client: new undici.Client(this.origin, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES * 2,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        connect: (connectOptions, callback) =>
          connect(connectOptions, (...outcome) => {
            connection.socket = outcome[1];
            callback(...outcome);
          }),
      }),
      socket: null,
      idleSinceMs: 0,
    };
    this.connections.add(connection);
    return connection;
  }

  private release(connection: Connection, reusable: boolean): void {
    if (!this.connections.has(connection)) return;
    if (!reusable) {
      this.close(connection);
      return;
    }
    connection.idleSinceMs = this.options.nowMs();
    this.idleConnections.push(connection);
  }

  private close(connection: Connection): void {
    this.connections.delete(connection);
    connection.client.destroy().catch(() => undefined);
  }
}
