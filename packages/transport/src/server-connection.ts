import type * as net from 'node:net';
import * as undici from 'undici';
import * as httpHeaders from './http-headers.js';

/** Ample: connecting to a process on the same host takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Idle connections close after this time, or earlier on request of the server.
 */
const IDLE_TIMEOUT_MS = 8_000;

/** Code of the errors with which undici closes a connection it has used up. */
const EXPECTED_CLOSE_CODE = 'UND_ERR_INFO';

/** What is known of a connection when its exchange ends. */
export interface ConnectionUse {
  /** Requests sent on the connection, including the present one. */
  readonly uses: number;
  /** Time since the connection was opened. */
  readonly ageMs: number;
}

/** A connection of `BufferedExchangeClient`, on which one request runs. */
export class ServerConnection {
  readonly client: undici.Client;
  socket: net.Socket | null = null;
  /** Requests sent on the connection. */
  uses = 0;
  idleSinceMs = 0;
  private hasReturnedBytes = false;
  private openedMs = 0;

  constructor(
    origin: string,
    private readonly nowMs: () => number,
    private readonly onSocketClosed: () => void = () => undefined,
  ) {
    const connect = undici.buildConnector({timeout: CONNECT_TIMEOUT_MS});
    this.client = new undici.Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES * 2,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...outcome) => {
          const [error, socket] = outcome;
          if (!error) this.open(socket);
          callback(...outcome);
        }),
    });
  }

  /**
   * Whether bytes followed the end of the last response in the same read. Valid
   * only after the read: undici parses the rest after `onResponseEnd` returns.
   */
  get hasTrailingBytes(): boolean {
    if (this.hasReturnedBytes) return true;
    const error = this.socket?.errored as NodeJS.ErrnoException | null;
    return error != null && error.code !== EXPECTED_CLOSE_CODE;
  }

  /** Valid from the response head on. */
  get use(): ConnectionUse {
    return {uses: this.uses, ageMs: this.nowMs() - this.openedMs};
  }

  /** Whether another request may be sent on the connection. */
  get isOpen(): boolean {
    return this.socket !== null && !this.socket.destroyed;
  }

  /**
   * Records the end of the response. What was returned to the socket before it
   * belongs to the response: undici returns the rest of a read also when reading
   * is paused.
   */
  noteResponseEnd(): void {
    this.hasReturnedBytes = false;
  }

  close(): void {
    this.client.destroy().catch(() => undefined);
  }

  /**
   * undici also opens a connection on its own, for a request that has not been
   * sent when the server closes the idle one.
   */
  private open(socket: net.Socket): void {
    this.socket = socket;
    this.uses = 1;
    this.openedMs = this.nowMs();
    this.hasReturnedBytes = false;
    this.watchReturnedBytes(socket);
    socket.once('close', this.onSocketClosed);
  }

  /**
   * undici stops parsing at the end of a response after which it closes the
   * connection, and returns the rest of the read to the socket.
   */
  private watchReturnedBytes(socket: net.Socket): void {
    const unshift = socket.unshift.bind(socket);
    socket.unshift = (chunk: Uint8Array, encoding) => {
      if (chunk.length > 0) this.hasReturnedBytes = true;
      unshift(chunk, encoding);
    };
  }
}
