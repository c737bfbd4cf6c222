import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as bodyBudget from './body-budget.js';
import * as httpHeaders from './http-headers.js';
import * as wholeHandler from './whole-handler.js';

/** Connecting to a process on the same host takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** An idle connection closes after this, unless the server names less. */
const IDLE_TIMEOUT_MS = 8_000;

export interface WholeExchangeOptions {
  readonly address: string;
  readonly port: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** The most connections; further requests are `notSent`. */
  readonly maximumConnections: () => number;
  /** Bytes of unfinished answers that are kept at once. */
  readonly maximumBufferedBytes?: number;
}

interface Connection {
  readonly client: undici.Client;
  socket: net.Socket | null;
  idleSinceMs: number;
}

/**
 * HTTP client of one backend server that reads each answer as a whole. Each
 * connection carries one request at a time, the most recently used one first,
 * and ends after any fault, so that bytes that follow an answer never reach
 * another request. It never repeats a request.
 */
export class WholeExchangeClient {
  private readonly idle: Connection[] = [];
  private readonly connections = new Set<Connection>();
  private readonly origin: string;
  private readonly budget: bodyBudget.BodyBudget;

  constructor(private readonly options: WholeExchangeOptions) {
    this.budget = new bodyBudget.BodyBudget(options.maximumBufferedBytes);
    this.origin = `http://${options.address}:${options.port}`;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts one exchange. Its result never rejects. */
  send(request: wholeHandler.WholeRequest): wholeHandler.RunningExchange {
    const connection = this.take(request.maximumIdleMs);
    if (!connection) {
      const error = new runtime.ConnectionError(
        'The backend server has its most connections. Send less at once.',
      );
      return {
        result: Promise.resolve({kind: 'notSent', error}),
        cancel: () => undefined,
      };
    }
    const handler = new wholeHandler.WholeHandler(
      () => connection.socket?.errored != null,
      reusable => this.release(connection, reusable),
      this.budget,
    );
    handler.start(connection.client, request);
    return handler;
  }

  /** Closes every connection at once. */
  destroy(): void {
    for (const connection of [...this.connections]) this.discard(connection);
  }

  private take(maximumIdleMs: number): Connection | null {
    const nowMs = this.options.nowMs();
    for (;;) {
      const connection = this.idle.pop();
      if (!connection) break;
      if (
        connection.socket &&
        !connection.socket.destroyed &&
        nowMs - connection.idleSinceMs <= maximumIdleMs
      ) {
        return connection;
      }
      this.discard(connection);
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
      this.discard(connection);
      return;
    }
    connection.idleSinceMs = this.options.nowMs();
    this.idle.push(connection);
  }

  private discard(connection: Connection): void {
    this.connections.delete(connection);
    connection.client.destroy().catch(() => undefined);
  }
}
