import * as http from 'node:http';
import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as callerCall from './caller-call.js';
import * as httpHeaders from './http-headers.js';

/** The busiest targets of today have 1,300 connections. */
const DEFAULT_MAXIMUM_CONNECTIONS = 2_000;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 300_000;
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/** How long a refused connection may take to read its refusal. */
const REFUSED_SOCKET_MS = 1_000;

export interface CallerServerOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly handler: (call: callerCall.CallerCall) => Promise<void>;
  /** Further connections get status 503 and are closed. */
  readonly maximumConnections?: number;
  /** For the headers of one request, and for the first byte. */
  readonly headersTimeoutMs?: number;
  /** For one whole request with its body. */
  readonly requestTimeoutMs?: number;
  /** For the next request on a connection without one. */
  readonly idleTimeoutMs?: number;
}

/** HTTP server for callers and for the local backend server. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly sockets = new Set<net.Socket>();
  /** Requests of a socket, pipelined ones included, without their answer. */
  private readonly unanswered = new WeakMap<net.Socket, number>();
  private stopping = false;

  constructor(private readonly options: CallerServerOptions) {
    const headersTimeout =
      options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    this.server = http.createServer(
      {
        // Names and values count against the limit; so does the rest of the
        // header lines here, with 8 bytes for each of 100 headers.
        maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES + 1_024,
        headersTimeout,
        requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
        keepAliveTimeout: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: Math.min(headersTimeout, 1_000),
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    // Counted in `headerProblem`; the server would drop what exceeds this.
    this.server.maxHeadersCount = 0;
    this.server.on('clientError', (error, socket) =>
      this.refuseMalformed(error, socket as net.Socket),
    );
    this.limitConnections();
  }

  get connectionCount(): number {
    return this.sockets.size;
  }

  /** Starts to listen; port 0 chooses one. Resolves with the port. */
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
   * Makes each answer end its connection, so that callers move elsewhere
   * before `stop` closes what is idle. Closing idle connections at once would
   * cut requests that are on their way.
   */
  beginStop(): void {
    this.stopping = true;
  }

  /**
   * Accepts no further connections, finishes the running calls with
   * `connection: close`, and closes idle connections. Resolves when every
   * connection has ended.
   */
  async stop(): Promise<void> {
    this.stopping = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    for (const socket of this.sockets) {
      // Node.js does not count a connection without any input as idle.
      if (socket.bytesRead === 0) socket.destroy();
    }
    await closed;
  }

  /** Ends every connection at once. */
  destroy(): void {
    this.stopping = true;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const headers = httpHeaders.pairHeaders(request.rawHeaders);
    const {socket} = request;
    this.unanswered.set(socket, (this.unanswered.get(socket) ?? 0) + 1);
    response.on('finish', () => {
      this.unanswered.set(socket, (this.unanswered.get(socket) ?? 1) - 1);
      // Connections that became idle during the stop are closed as well.
      if (!this.server.listening) {
        setImmediate(() => this.server.closeIdleConnections());
      }
    });
    const call = new callerCall.HttpCallerCall(
      request,
      response,
      headers,
      () => this.stopping,
    );
    try {
      const problem = requestProblem(call);
      if (problem) {
        this.countRefused(problem.reason);
        await call.respondOutcome({kind: 'notRun', reason: problem.reason});
        return;
      }
      await this.options.handler(call);
      if (!call.headSent) throw new Error('The handler sent no answer.');
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

  /** Counted before the HTTP parser sees the connection. */
  private limitConnections(): void {
    const {server, sockets} = this;
    const limit =
      this.options.maximumConnections ?? DEFAULT_MAXIMUM_CONNECTIONS;
    const accept = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (socket: net.Socket) => {
      if (sockets.size >= limit) {
        this.countRefused('connectionLimit');
        refuseSocket(socket, 503, 'Connect to another host.');
        return;
      }
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      for (const listener of accept) listener.call(server, socket);
    });
  }

  private refuseMalformed(error: Error, socket: net.Socket): void {
    const {code} = error as NodeJS.ErrnoException;
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.countRefused(code ?? 'malformed');
    if ((this.unanswered.get(socket) ?? 0) > 0) {
      // A refusal here would be read as part of the answer in progress.
      socket.resetAndDestroy();
      return;
    }
    if (code === 'HPE_HEADER_OVERFLOW') {
      refuseSocket(socket, 431, 'Send fewer or shorter headers.');
    } else if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
      refuseSocket(socket, 408, 'Send the request without pauses.');
    } else {
      refuseSocket(socket, 400, 'Send a well-formed HTTP/1.1 request.');
    }
  }

  private countRefused(cause: string): void {
    this.options.metrics.count(
      'caller_requests_refused_total',
      'Requests and connections of callers refused before routing, by cause.',
      {cause},
    );
  }
}

function requestProblem(
  call: callerCall.CallerCall,
): {readonly reason: protocol.RefusalReasonName} | null {
  if (httpHeaders.headerProblem(call.headers) !== null) {
    return {reason: 'headerInvalid'};
  }
  return call.path.startsWith('/') ? null : {reason: 'routeUnknown'};
}

/** Answers on a socket that has no parsed request. */
function refuseSocket(
  socket: net.Socket,
  status: number,
  advice: string,
): void {
  const body = JSON.stringify({outcome: 'not-run', advice});
  socket.on('error', () => socket.destroy());
  socket.setTimeout(REFUSED_SOCKET_MS, () => socket.destroy());
  // Unread input would turn the close into a reset that the caller sees in
  // place of the answer.
  socket.resume();
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
      'content-type: application/json\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      'camphorwharf-outcome: not-run\r\n' +
      'retry-after: 1\r\nconnection: close\r\n\r\n' +
      body,
  );
}
