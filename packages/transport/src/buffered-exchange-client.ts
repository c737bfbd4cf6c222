import * as runtime from '@camphorwharf/runtime';
import * as bodyMemory from './body-memory.js';
import type * as bufferedExchange from './buffered-exchange.js';
import * as bufferedExchangeHandler from './buffered-exchange-handler.js';
import * as responseMemory from './response-memory.js';
import * as serverConnection from './server-connection.js';

export interface BufferedExchangeOptions {
  readonly address: string;
  readonly port: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Connection limit; requests beyond it result in `notSent`. */
  readonly maximumConnections: () => number;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory?: bodyMemory.BodyMemory;
  /**
   * Called when the server closes a connection that has just become idle, as
   * the end of its process does.
   */
  readonly onUnexpectedClose?: () => void;
  /** Admits long responses before their bodies are read; unlimited if absent. */
  readonly responseMemory?: responseMemory.ResponseMemory;
}

/** No server closes a connection that has been idle for less time. */
const MINIMUM_IDLE_MS = 1_000;

/**
 * HTTP client of packages/host-daemon for the local backend server, which
 * returns whole responses. `BackendServerClient`, for packages/daemon, streams
 * them. A connection carries one request at a time; the most recently used idle one
 * is reused first. A connection closes after any error, so that stray bytes are
 * never taken for the response to a later request. Requests are never retried.
 */
export class BufferedExchangeClient {
  private readonly idleConnections: serverConnection.ServerConnection[] = [];
  private readonly connections = new Set<serverConnection.ServerConnection>();
  private readonly origin: string;
  private readonly memory: bodyMemory.BodyMemory;
  private readonly responseMemory: responseMemory.ResponseMemory;

  constructor(private readonly options: BufferedExchangeOptions) {
    this.memory = options.bodyMemory ?? new bodyMemory.BodyMemory();
    this.responseMemory =
      options.responseMemory ?? new responseMemory.ResponseMemory(Infinity);
    this.origin = `http://${options.address}:${options.port}`;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts an exchange, whose result never rejects. */
  send(
    request: bufferedExchange.BufferedExchangeRequest,
  ): bufferedExchange.BufferedExchange {
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
    connection.uses++;
    const handler = new bufferedExchangeHandler.BufferedExchangeHandler(
      connection,
      reusable => this.release(connection, reusable),
      this.memory,
      this.responseMemory,
    );
    handler.start(connection.client, request);
    return handler;
  }

  /** Closes all connections immediately. */
  destroy(): void {
    for (const connection of [...this.connections]) this.close(connection);
  }

  private acquire(
    maximumIdleMs: number,
  ): serverConnection.ServerConnection | null {
    const nowMs = this.options.nowMs();
    for (;;) {
      const connection = this.idleConnections.pop();
      if (!connection) break;
      if (
        connection.isOpen &&
        nowMs - connection.idleSinceMs <= maximumIdleMs
      ) {
        return connection;
      }
      this.close(connection);
    }
    if (this.connections.size >= this.options.maximumConnections()) return null;
    const connection = new serverConnection.ServerConnection(
      this.origin,
      this.options.nowMs,
      () => this.noteClosed(connection),
    );
    this.connections.add(connection);
    return connection;
  }

  private release(
    connection: serverConnection.ServerConnection,
    reusable: boolean,
  ): void {
    if (!this.connections.has(connection)) return;
    if (!reusable) {
      this.close(connection);
      return;
    }
    connection.idleSinceMs = this.options.nowMs();
    this.idleConnections.push(connection);
  }

  private noteClosed(connection: serverConnection.ServerConnection): void {
    const isIdle = this.idleConnections.includes(connection);
    if (!isIdle || !this.connections.has(connection)) return;
    const idleMs = this.options.nowMs() - connection.idleSinceMs;
    if (idleMs < MINIMUM_IDLE_MS) this.options.onUnexpectedClose?.();
  }

  private close(connection: serverConnection.ServerConnection): void {
    this.connections.delete(connection);
    connection.close();
  }
}
