import * as http from 'node:http';
import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as callerCall from './caller-call.js';
import * as callerGuard from './caller-guard.js';
import * as httpHeaders from './http-headers.js';
import * as parserLimit from './parser-limit.js';

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 300_000;
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/** Time that a refused connection has to read the refusal. */
const REFUSAL_TIMEOUT_MS = 1_000;

/**
 * Connections above the limit that get a refusal at the same time; others are
 * closed without one, because each holds a descriptor meanwhile.
 */
const MAXIMUM_REFUSALS = 64;

export interface CallerServerOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly handler: (call: callerCall.CallerCall) => Promise<void>;
  readonly clock?: Pick<runtime.Clock, 'monotonicMs'>;
  /** Connections beyond their limit get status 503 and are closed. */
  readonly limits?: Partial<callerGuard.CallerLimits>;
  /** Timeout for receiving the headers of a request and for the first byte. */
  readonly headersTimeoutMs?: number;
  /** Timeout for receiving a request including its body. */
  readonly requestTimeoutMs?: number;
  /** Timeout for the next request on an idle connection. */
  readonly idleTimeoutMs?: number;
}

/**
 * HTTP server of packages/daemon for callers and for the local backend server.
 * It streams responses; `CallerHttpServer` of packages/host-daemon sends
 * buffered ones.
 */
export class CallerServer {
  private readonly server: http.Server;
  private readonly guard: callerGuard.CallerGuard;
  /** Connections above the limit that are being refused. */
  private refusals = 0;
  private stopping = false;

  constructor(private readonly options: CallerServerOptions) {
    const headersTimeout =
      options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    this.guard = new callerGuard.CallerGuard({
      clock: options.clock ?? new runtime.SystemClock(),
      logger: options.logger,
      metrics: options.metrics,
      limits: {...callerGuard.DEFAULT_CALLER_LIMITS, ...options.limits},
    });
    this.server = http.createServer(
      {
        // `findHeaderError` limits names and values. Node.js also counts the
        // rest of the header lines: 8 bytes for each of 100 headers.
        maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES + 1_024,
        headersTimeout,
        requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
        keepAliveTimeout: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: Math.min(headersTimeout, 1_000),
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    // Node.js drops the headers beyond this number, with which `findHeaderError`
    // refuses the request.
    this.server.maxHeadersCount = httpHeaders.MAXIMUM_HEADER_COUNT + 1;
    this.server.on('clientError', (error, socket) =>
      this.refuseMalformed(error, socket as net.Socket),
    );
    this.limitConnections();
    parserLimit.limitIdleParsers();
  }

  get connectionCount(): number {
    return this.guard.size;
  }

  /** Starts listening. Port 0 selects a free port. Resolves with the port. */
  listen(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host: address, backlog: 1_024}, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /**
   * Adds `connection: close` to each response, so that callers move elsewhere
   * before `stop` closes idle connections. Closing them immediately would lose
   * requests that are already on their way.
   */
  beginStop(): void {
    this.stopping = true;
  }

  /**
   * Accepts no further connections, completes calls in flight with
   * `connection: close` and closes idle connections. Resolves when all
   * connections have ended.
   */
  async stop(): Promise<void> {
    this.stopping = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    for (const socket of this.guard.sockets()) {
      // Node.js does not consider a connection idle before its first request.
      if (socket.bytesRead === 0) socket.destroy();
    }
    await closed;
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.stopping = true;
    this.server.close();
    for (const socket of this.guard.sockets()) socket.destroy();
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const headers = httpHeaders.pairRawHeaders(request.rawHeaders);
    const connection = this.guard.get(request.socket);
    // The connection has been closed to accept another one.
    if (!connection) return;
    const call = new callerCall.HttpCallerCall(
      request,
      response,
      headers,
      () => this.stopping,
    );
    this.guard.addRequest(connection, response, call);
    response.on('finish', () => {
      // Also closes connections that become idle while the server stops.
      if (!this.server.listening) {
        setImmediate(() => this.server.closeIdleConnections());
      }
    });
    try {
      const startable = connection.untilStartable(response);
      if (startable) await startable;
      if (call.signal.aborted) return;
      const problem = findRequestError(call);
      if (problem) {
        this.countRefusal(problem.reason);
        await call.respondOutcome({kind: 'notRun', reason: problem.reason});
        return;
      }
      await this.options.handler(call);
      if (!call.headersSent) throw new Error('The handler sent no response.');
    } catch (error) {
      if (call.signal.aborted) return;
      this.options.metrics.count(
        'caller_handler_errors_total',
        'Calls whose handler threw or sent no complete answer.',
      );
      this.options.logger.warn('caller-call-failed', {
        error: error instanceof Error ? error.message : String(error),
      });
      call.reset();
    }
  }

  /** Enforces the connection limit before Node.js attaches its HTTP parser. */
  private limitConnections(): void {
    const {server, guard} = this;
    const connectionListeners = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (socket: net.Socket) => {
      if (!guard.makeRoom()) {
        this.refuseConnection(socket);
        return;
      }
      guard.add(socket);
      for (const listener of connectionListeners) listener.call(server, socket);
      guard.limitRequests(socket);
    });
  }

  private refuseConnection(socket: net.Socket): void {
    this.countRefusal('connectionLimit');
    if (this.refusals >= MAXIMUM_REFUSALS) {
      socket.destroy();
      return;
    }
    this.refusals++;
    socket.once('close', () => this.refusals--);
    refuseSocket(socket, refusal(503, 'Connect to another host.'));
  }

  private refuseMalformed(error: Error, socket: net.Socket): void {
    const {code} = error as NodeJS.ErrnoException;
    const connection = this.guard.get(socket);
    if (connection?.closing && code !== 'ECONNRESET') {
      connection.discardInput();
      return;
    }
    if (!connection || code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.countRefusal(code ?? 'malformed');
    if (connection.size > 0) {
      // A refusal would be read as part of the response in progress.
      socket.resetAndDestroy();
      return;
    }
    connection.closeWith(malformedResponse(code));
  }

  private countRefusal(cause: string): void {
    this.options.metrics.count(
      'caller_requests_refused_total',
      'Requests and connections of callers refused before routing, by cause.',
      {cause},
    );
  }
}

function findRequestError(
  call: callerCall.CallerCall,
): {readonly reason: protocol.RefusalReasonName} | null {
  if (httpHeaders.findHeaderError(call.headers) !== null) {
    return {reason: 'headerInvalid'};
  }
  return call.path.startsWith('/') ? null : {reason: 'routeUnknown'};
}

/** The response to input that is not a request, by the code of its error. */
function malformedResponse(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return refusal(431, 'Send fewer or shorter headers.');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return refusal(408, 'Send the request without pauses.');
    default:
      return refusal(400, 'Send a well-formed HTTP/1.1 request.');
  }
}

/** Sends an error response on a socket without a parser. */
function refuseSocket(socket: net.Socket, response: string): void {
  socket.on('error', () => socket.destroy());
  socket.setTimeout(REFUSAL_TIMEOUT_MS, () => socket.destroy());
  // Unread input would turn the close into a reset, and the caller would not
  // see the response.
  socket.resume();
  socket.end(response);
}

/** A response after which the connection closes. */
function refusal(status: number, advice: string): string {
  const body = JSON.stringify({outcome: 'not-run', advice});
  return (
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
    'content-type: application/json\r\n' +
    `content-length: ${Buffer.byteLength(body)}\r\n` +
    'camphorwharf-outcome: not-run\r\n' +
    'retry-after: 1\r\nconnection: close\r\n\r\n' +
    body
  );
}
