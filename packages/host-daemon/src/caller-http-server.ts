import * as http from 'node:http';
import type * as net from 'node:net';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as callerConnection from './caller-connection.js';
import * as readPacer from './read-pacer.js';
import * as requestBody from './request-body.js';

/**
 * Limit of the HTTP parser; the configured limit is checked on the parsed
 * headers.
 */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;

/** Used until a configuration is known. */
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
const INITIAL_IDLE_TIMEOUT_MS = 15_000;

const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Bodies up to this size are copied and written together with the header. */
const MAXIMUM_COALESCED_BODY_BYTES = 16 * 1024;

/** A request from a client or from the local backend server. */
export interface IncomingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values as received, in order of arrival. */
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /**
   * Whether this is the first request of its connection. Connection setup can
   * be delayed by seconds in the network or in the accept queue of this host,
   * and the client may have disconnected in the meantime.
   */
  readonly isFirstOnConnection: boolean;
  /** Monotonic time at which the request was read, in milliseconds. */
  readonly arrivedMs: number;
  /** Aborted when the client disconnects before the response is complete. */
  readonly signal: runtime.CancelSignal;
  /**
   * Resolves when all earlier requests of the connection have been answered, or
   * the request is cancelled. If an earlier response closes the connection, the
   * client repeats this request, whatever its kind.
   */
  untilEarlierAnswered(): Promise<void>;
  /** Reads the body; one of more than `maximumBytes` fails. */
  readBody(maximumBytes: number): Promise<requestBody.BodyResult>;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array;
}

export interface CallerHttpServerOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory: transport.BodyMemory;
  /** Returns null to reset the connection without a response. */
  readonly handler: (
    request: IncomingRequest,
  ) => Promise<CallerResponse | null>;
}

/**
 * HTTP server of packages/host-daemon, for the clients of this host and for its
 * backend server. It sends buffered responses; `CallerServer` of
 * packages/transport, which packages/daemon uses, streams them.
 */
export class CallerHttpServer {
  private readonly server: http.Server;
  private readonly connections = new Map<
    net.Socket,
    callerConnection.CallerConnection
  >();
  private readonly readPacer = new readPacer.ReadPacer();
  private draining = false;
  private unsentResponseBytes = 0;
  private maximumHeaderBytes = MAXIMUM_PARSED_HEADER_BYTES;

  constructor(private readonly options: CallerHttpServerOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        requestTimeout: 0,
        keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (request, response) => void this.handleRequest(request, response),
    );
    this.server.on('connection', (socket: net.Socket) => {
      this.connections.set(
        socket,
        new callerConnection.CallerConnection(socket),
      );
      socket.on('close', () => this.connections.delete(socket));
    });
    this.server.on('clientError', (error, socket) =>
      this.handleClientError(error, socket as net.Socket),
    );
  }

  /** Number of requests without a complete response. */
  get runningCount(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      count += connection.size;
    }
    return count;
  }

  /** Bytes of responses that clients have not read yet. */
  get unsentBytes(): number {
    return this.unsentResponseBytes;
  }

  listen(port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host: address, backlog: 1_024}, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** The bound port, for a server that listens on port 0. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  applyLimits(limits: routing.ClientLimits): void {
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes each connection after its next response. */
  startDraining(): void {
    this.draining = true;
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedMs = this.options.clock.monotonicMs();
    const connection = this.connections.get(request.socket);
    if (!connection) return;
    // The client repeats a request that was sent behind a response that closes
    // the connection, so it is not begun here.
    if (this.draining && connection.size > 0) connection.closeAfterLast();
    const exchange = connection.add(request, response);
    if (!exchange) return;
    await connection.untilStartable(exchange);
    if (exchange.cancel.aborted) return;
    const reply = await this.reply(connection, exchange, arrivedMs);
    await connection.untilFirst(exchange);
    if (exchange.cancel.aborted) return;
    if (reply) this.sendResponse(connection, exchange, reply);
    else request.socket.resetAndDestroy();
  }

  /** Returns null to reset the connection. */
  private async reply(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
    arrivedMs: number,
  ): Promise<CallerResponse | null> {
    const {request, isFirstOnConnection, cancel} = exchange;
    if (headerSize(request.rawHeaders) > this.maximumHeaderBytes) {
      return adviceResponse(431, 'Send fewer or shorter headers.');
    }
    let bodyReader: requestBody.RequestBodyReader | null = null;
    try {
      return await this.options.handler({
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        rawHeaders: request.rawHeaders,
        headers: request.headers,
        isFirstOnConnection,
        arrivedMs,
        signal: cancel,
        untilEarlierAnswered: async () => {
          await connection.untilFirst(exchange);
        },
        readBody: maximumBytes => {
          if (!requestBody.hasBody(request)) {
            return Promise.resolve({kind: 'body', body: null});
          }
          bodyReader = new requestBody.RequestBodyReader(
            request,
            connection,
            this.options.bodyMemory,
            this.readPacer,
            maximumBytes,
          );
          return bodyReader.read();
        },
      });
    } catch (error) {
      this.options.logger.error('caller-request-failed', {
        error: error instanceof Error ? error.message : String(error),
      });
      return null;
    } finally {
      (bodyReader as requestBody.RequestBodyReader | null)?.release();
    }
  }

  private sendResponse(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
    reply: CallerResponse,
  ): void {
    const {request, response} = exchange;
    const headers: string[] = [];
    for (const [name, value] of reply.headers) headers.push(name, value);
    if (reply.status !== 204 && reply.status !== 304) {
      headers.push('Content-Length', String(reply.body.length));
    }
    // The rest of an unread body would be parsed as the next request.
    const mustClose = this.draining || connection.closing || !request.complete;
    if (mustClose && connection.isLast(exchange)) {
      headers.push('Connection', 'close');
      connection.closeAfterLast();
    }
    response.sendDate = false;
    response.writeHead(reply.status, headers);
    const {body} = reply;
    this.unsentResponseBytes += body.length;
    response.once('close', () => (this.unsentResponseBytes -= body.length));
    if (body.length <= MAXIMUM_COALESCED_BODY_BYTES) {
      // Node.js combines the header with a string body but not with a buffer.
      response.end(toBuffer(body).toString('latin1'), 'latin1');
    } else {
      response.end(body);
    }
  }

  private handleClientError(error: Error, socket: net.Socket): void {
    const {code} = error as NodeJS.ErrnoException;
    const connection = this.connections.get(socket);
    // The parser fails again on each further input.
    if (connection?.closing) return;
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.options.metrics.count(
      'caller_connections_refused_total',
      'Connections of callers ended because of malformed input, by cause.',
      {cause: code ?? 'malformed'},
    );
    const status =
      code === 'HPE_HEADER_OVERFLOW'
        ? 431
        : code === 'ERR_HTTP_REQUEST_TIMEOUT'
          ? 408
          : 400;
    const hadRequests = (connection?.size ?? 0) > 0;
    if (connection?.handleMalformedInput()) return;
    // A response here would be taken for that of the request that was cut off.
    if (hadRequests) {
      socket.resetAndDestroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
        'Content-Length: 0\r\nConnection: close\r\n\r\n',
    );
  }
}

/** A response generated by this process, with advice for the caller. */
export function adviceResponse(
  status: number,
  advice: string,
  headers: protocol.HeaderList = [],
): CallerResponse {
  return {
    status,
    headers: [['Content-Type', 'application/json'], ...headers],
    body: Buffer.from(JSON.stringify({advice})),
  };
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

function headerSize(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}
