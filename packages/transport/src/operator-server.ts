import * as http from 'node:http';
import type * as net from 'node:net';
import type * as runtime from '@camphorwharf/runtime';
import * as lingeringClose from './lingering-close.js';
import * as parserLimit from './parser-limit.js';

/** Callbacks that implement the operator endpoints. */
export interface OperatorHandlers {
  /** Liveness: false requests a restart of the process. */
  readonly alive: () => boolean;
  /** Readiness: whether callers should be routed to this process. */
  readonly ready: () => boolean;
  /** Metrics in the Prometheus text exposition format. */
  readonly metrics: () => Promise<string>;
  /** Status report; must be JSON-serializable. */
  readonly status: () => unknown;
  /** Starts a graceful shutdown; the response is sent before it completes. */
  readonly drain: () => void;
}

export interface OperatorServerOptions {
  readonly logger: runtime.Logger;
  readonly metrics?: runtime.Metrics;
  readonly handlers: OperatorHandlers;
}

interface OperatorResponse {
  readonly status: number;
  readonly type: string;
  readonly text: string;
  readonly allow?: string;
}

const METHODS: ReadonlyMap<string, readonly string[]> = new Map([
  ['/livez', ['GET', 'HEAD']],
  ['/readyz', ['GET', 'HEAD']],
  ['/metrics', ['GET', 'HEAD']],
  ['/status', ['GET', 'HEAD']],
  ['/drain', ['POST']],
]);

/** Also ends a connection whose client does not read its response. */
const IDLE_TIMEOUT_MS = 30_000;

/** HTTP server for the operator endpoints, on a separate port. */
export class OperatorServer {
  private readonly server: http.Server;
  /** The unanswered request of each connection. */
  private readonly unanswered = new WeakMap<net.Socket, http.ServerResponse>();
  /** Connections that close because of pipelined requests. */
  private readonly closing = new WeakMap<
    net.Socket,
    lingeringClose.LingeringClose
  >();

  constructor(private readonly options: OperatorServerOptions) {
    this.server = http.createServer(
      {
        headersTimeout: 5_000,
        requestTimeout: 10_000,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: 1_000,
      },
      (request, response) => void this.serve(request, response),
    );
    // Operators and monitoring need few connections; bounds a leak.
    this.server.maxConnections = 64;
    this.server.setTimeout(IDLE_TIMEOUT_MS);
    this.server.on('connection', socket => this.limitRequests(socket));
    this.server.on('clientError', (_error, socket) =>
      this.refuseMalformed(socket as net.Socket),
    );
  }

  private refuseMalformed(socket: net.Socket): void {
    const response = this.unanswered.get(socket);
    const lingering = this.closing.get(socket);
    if (!response && lingering) {
      lingering.noteInput();
      return;
    }
    if (!response) {
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
      return;
    }
    // The connection closes after the response in progress.
    response.shouldKeepAlive = false;
    socket.pause();
  }

  /**
   * Reads one request at a time. The connection closes after the response
   * before a further one, because unread responses would accumulate.
   */
  private limitRequests(socket: net.Socket): void {
    parserLimit.limitParsing(socket, {
      mayParse: () => {
        if (this.closing.has(socket)) return false;
        if (!this.unanswered.has(socket)) return true;
        this.closeAfterResponse(socket);
        this.options.metrics?.count(
          'operator_connections_closed_total',
          'Connections to the operator server closed for pipelined requests.',
        );
        return false;
      },
      endParsing: () => this.closeAfterResponse(socket),
    });
  }

  /** Ends reading; the connection closes after the response in progress. */
  private closeAfterResponse(socket: net.Socket): void {
    const response = this.unanswered.get(socket);
    if (!response) return;
    const lingering = new lingeringClose.LingeringClose(socket);
    this.closing.set(socket, lingering);
    // Node.js calls this after a response with `connection: close`.
    socket.destroySoon = () => lingering.begin();
    response.shouldKeepAlive = false;
    socket.pause();
  }

  /** Starts listening. Port 0 selects a free port. Resolves with the port. */
  listen(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes each connection after its response. */
  stop(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    request.resume();
    this.unanswered.set(request.socket, response);
    response.on('finish', () => this.unanswered.delete(request.socket));
    let reply: OperatorResponse;
    try {
      reply = await this.createResponse(
        request.method ?? '',
        request.url ?? '',
      );
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.error('operator-request-failed', {error: message});
      reply = plainText(500, 'The request failed; see the log of the daemon.');
    }
    response.writeHead(reply.status, {
      'content-type': reply.type,
      'content-length': Buffer.byteLength(reply.text),
      ...(reply.allow === undefined ? {} : {allow: reply.allow}),
      ...(this.server.listening ? {} : {connection: 'close'}),
    });
    response.end(request.method === 'HEAD' ? undefined : reply.text);
  }

  private async createResponse(
    method: string,
    url: string,
  ): Promise<OperatorResponse> {
    const {handlers} = this.options;
    const path = url.split('?', 1)[0];
    const methods = METHODS.get(path);
    if (!methods) {
      return plainText(404, `Use one of ${[...METHODS.keys()].join(', ')}.`);
    }
    if (!methods.includes(method)) {
      const allow = methods.join(', ');
      return {...plainText(405, `Use ${allow} for ${path}.`), allow};
    }
    switch (path) {
      case '/livez':
        return handlers.alive()
          ? plainText(200, 'alive')
          : plainText(503, 'Not alive; restart the daemon.');
      case '/readyz':
        return handlers.ready()
          ? plainText(200, 'ready')
          : plainText(503, 'Not ready; see /status.');
      case '/metrics':
        return {
          status: 200,
          type: 'text/plain; version=0.0.4; charset=utf-8',
          text: await handlers.metrics(),
        };
      case '/status':
        return {
          status: 200,
          type: 'application/json',
          text: `${JSON.stringify(handlers.status(), null, 2)}\n`,
        };
      default:
        handlers.drain();
        return plainText(
          202,
          'Draining; /readyz and /status show the progress.',
        );
    }
  }
}

function plainText(status: number, text: string): OperatorResponse {
  return {status, type: 'text/plain; charset=utf-8', text: `${text}\n`};
}
