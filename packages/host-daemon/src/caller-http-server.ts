import * as http from 'node:http';
import type * as net from 'node:net';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as callerConnection from './caller-connection.js';
import * as callerMessages from './caller-messages.js';
import * as clientGuard from './client-guard.js';
import * as clientLimits from './client-limits.js';
import * as clientMemory from './client-memory.js';
import * as malformedInput from './malformed-input.js';
import * as readPacer from './read-pacer.js';
import * as requestBody from './request-body.js';
import * as responseBody from './response-body.js';

/** Used until a configuration is known. */
const INITIAL_HEADER_BYTES = 64 * 1024;
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
const INITIAL_IDLE_TIMEOUT_MS = 15_000;

/**
 * Length of a request line that the HTTP parser accepts beside the configured
 * length of the header section, which is checked on the parsed headers.
 */
const REQUEST_LINE_BYTES = 8 * 1024;

const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Used if the options name no memory. */
const DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024;

export {adviceResponse} from './caller-messages.js';
export type {CallerResponse, IncomingRequest} from './caller-messages.js';

export interface CallerHttpServerOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory: transport.BodyMemory;
  /** Account of the requests and responses of all connections. */
  readonly clientMemory?: clientMemory.ClientMemory;
  readonly clientLimits?: clientLimits.ClientLimits;
  /** Returns null to reset the connection without a response. */
  readonly handler: (
    request: callerMessages.IncomingRequest,
  ) => Promise<callerMessages.CallerResponse | null>;
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
  private readonly memory: clientMemory.ClientMemory;
  private readonly limits: clientLimits.ClientLimits;
  private readonly guard: clientGuard.ClientGuard;
  private maximumHeaderBytes = INITIAL_HEADER_BYTES;

  constructor(private readonly options: CallerHttpServerOptions) {
    this.memory =
      options.clientMemory ??
      new clientMemory.ClientMemory(DEFAULT_MEMORY_BYTES);
    this.limits = options.clientLimits ?? clientLimits.DEFAULT_CLIENT_LIMITS;
    this.guard = new clientGuard.ClientGuard({
      ...options,
      limits: this.limits,
      memory: this.memory,
      connections: this.connections,
    });
    this.server = http.createServer(
      {
        maxHeaderSize: INITIAL_HEADER_BYTES + REQUEST_LINE_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (request, response) => void this.handleRequest(request, response),
    );
    this.setTimeouts(INITIAL_HEADER_TIMEOUT_MS, INITIAL_IDLE_TIMEOUT_MS);
    // No limit: Node.js would silently drop the fields beyond it.
    this.server.maxHeadersCount = 0;
    this.server.on(
      'checkExpectation',
      (request, response) => void this.handleRequest(request, response),
    );
    transport.limitIdleParsers();
    this.server.on('connection', (socket: net.Socket) =>
      this.addConnection(socket),
    );
    this.server.on('clientError', (error, socket) =>
      malformedInput.endConnection(
        error,
        socket as net.Socket,
        this.connections.get(socket as net.Socket),
        options.metrics,
      ),
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
    // Applies to connections that are opened from now on.
    const server = this.server as {maxHeaderSize?: number};
    server.maxHeaderSize = limits.maximumHeaderBytes + REQUEST_LINE_BYTES;
    this.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
  }

  private setTimeouts(headerMs: number, idleMs: number): void {
    const {server, limits} = this;
    server.headersTimeout = headerMs;
    // Node.js exchanges the two if the one of the request is shorter.
    server.requestTimeout = Math.max(limits.requestMs, headerMs);
    server.keepAliveTimeout = idleMs;
  }

  /** Closes each connection after its next response. */
  startDraining(): void {
    this.draining = true;
  }

  /** Closes all connections. */
  close(): void {
    this.guard.stop();
    this.server.close();
    this.server.closeAllConnections();
  }

  private addConnection(socket: net.Socket): void {
    if (!this.guard.accept(socket)) return;
    const connection = new callerConnection.CallerConnection(
      socket,
      this.memory,
    );
    this.connections.set(socket, connection);
    socket.on('close', () => this.connections.delete(socket));
    transport.limitParsing(socket, {
      mayParse: () => this.mayParse(connection),
      endParsing: () => connection.endReading(),
    });
    transport.observeSections(socket, this.memory.sections, connection, () =>
      this.guard.record('unfinishedSection', socket),
    );
  }

  private mayParse(connection: callerConnection.CallerConnection): boolean {
    const wasClosing = connection.closing;
    const mayParse = connection.mayParse(this.limits.pipelinedRequests);
    if (!mayParse && !wasClosing) {
      this.guard.record('tooManyRequests', connection.socket);
    }
    return mayParse;
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
    const headerBytes = clientMemory.headerSize(request.rawHeaders);
    const exchange = connection.add(
      request,
      response,
      clientMemory.requestSize(request, headerBytes, connection.size > 0),
    );
    if (!exchange) return;
    const reply = await this.process(
      connection,
      exchange,
      headerBytes,
      arrivedMs,
    );
    if (exchange.cancel.aborted) return;
    if (reply) connection.holdResponse(exchange, reply.body.length);
    await connection.untilFirst(exchange);
    if (exchange.cancel.aborted) return;
    if (reply) this.sendResponse(connection, exchange, reply);
    else request.socket.resetAndDestroy();
  }

  /** Returns null to reset the connection. */
  private async process(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
    headerBytes: number,
    arrivedMs: number,
  ): Promise<callerMessages.CallerResponse | null> {
    const {request, isNext, cancel} = exchange;
    if (requestBody.hasBody(request)) {
      exchange.body = new requestBody.RequestBodyReader(
        request,
        connection,
        this.options.bodyMemory,
        this.readPacer,
      );
    }
    try {
      if (!isNext) exchange.body?.start();
      await connection.untilStartable(exchange);
      if (cancel.aborted) return null;
      return (
        this.findRefusal(request, headerBytes) ??
        (await this.reply(connection, exchange, arrivedMs))
      );
    } finally {
      exchange.body?.release();
    }
  }

  /** Returns the response to a request that is refused without its body. */
  private findRefusal(
    {headers}: http.IncomingMessage,
    headerBytes: number,
  ): callerMessages.CallerResponse | null {
    if (headerBytes > this.maximumHeaderBytes) {
      return callerMessages.adviceResponse(
        431,
        'Send fewer or shorter headers.',
      );
    }
    if (callerMessages.hasUnknownExpectation(headers.expect)) {
      return callerMessages.adviceResponse(417, 'Send no such expectation.');
    }
    return null;
  }

  /** Returns null to reset the connection. */
  private async reply(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
    arrivedMs: number,
  ): Promise<callerMessages.CallerResponse | null> {
    const {request, isFirstOnConnection, cancel, body} = exchange;
    try {
      return await this.options.handler({
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        rawHeaders: request.rawHeaders,
        headers: request.headers,
        isFirstOnConnection,
        arrivedMs,
        signal: cancel,
        turn: exchange,
        untilEarlierAnswered: async () => {
          await connection.untilFirst(exchange);
        },
        readBody: maximumBytes =>
          body?.read(maximumBytes) ??
          Promise.resolve({kind: 'body', body: null}),
      });
    } catch (error) {
      this.options.logger.error('caller-request-failed', {
        error: error instanceof Error ? error.message : String(error),
      });
      return null;
    }
  }

  private sendResponse(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
    reply: callerMessages.CallerResponse,
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
    exchange.isResponding = true;
    response.sendDate = false;
    response.writeHead(reply.status, headers);
    responseBody.sendBody(response, reply.body);
  }
}
