import * as http from 'node:http';
import type * as net from 'node:net';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';

/** Bodies up to this size are buffered so that they can be sent again. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

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

export type RequestBody = Uint8Array | AsyncIterable<Uint8Array> | null;

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
  /** Aborted when the client disconnects before the response is complete. */
  readonly signal: runtime.CancelSignal;
  /**
   * Reads the body into a buffer, or as a stream if it exceeds the buffering
   * limit. Throws if the client aborts the request.
   */
  readBody(): Promise<RequestBody>;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array;
}

export interface CallerHttpServerOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
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
  /** Connections that have sent at least one request. */
  private readonly seenConnections = new WeakSet<net.Socket>();
  private runningRequestCount = 0;
  /** Connections that have a request without a complete response. */
  private readonly cancelSources = new WeakMap<
    net.Socket,
    runtime.CancelSource
  >();
  private draining = false;
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
    // The response closes a few event loop iterations after the end of its
    // connection. If the event loop is delayed, the request would be forwarded
    // in the meantime.
    this.server.on('connection', (socket: net.Socket) =>
      socket.on('end', () => this.cancelSources.get(socket)?.abort()),
    );
    this.server.on('clientError', (error, socket) =>
      this.handleClientError(error, socket as net.Socket),
    );
  }

  /** Number of requests without a complete response. */
  get runningCount(): number {
    return this.runningRequestCount;
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
    this.runningRequestCount++;
    const isFirstOnConnection = !this.seenConnections.has(request.socket);
    if (isFirstOnConnection) this.seenConnections.add(request.socket);
    const cancel = new runtime.CancelSource();
    this.cancelSources.set(request.socket, cancel);
    let finished = false;
    response.on('close', () => {
      this.runningRequestCount--;
      this.cancelSources.delete(request.socket);
      if (!finished) cancel.abort();
    });
    response.on('finish', () => {
      finished = true;
    });
    let reply: CallerResponse | null;
    try {
      reply =
        headerSize(request.rawHeaders) > this.maximumHeaderBytes
          ? adviceResponse(431, 'Send fewer or shorter headers.')
          : await this.options.handler({
              method: request.method ?? 'GET',
              path: request.url ?? '/',
              rawHeaders: request.rawHeaders,
              headers: request.headers,
              isFirstOnConnection,
              signal: cancel,
              readBody: () => readBody(request),
            });
    } catch (error) {
      this.options.logger.error('caller-request-failed', {
        error: error instanceof Error ? error.message : String(error),
      });
      reply = null;
    }
    if (cancel.aborted) return;
    if (reply) this.sendResponse(request, response, reply);
    else request.socket.resetAndDestroy();
  }

  private sendResponse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reply: CallerResponse,
  ): void {
    const headers: string[] = [];
    for (const [name, value] of reply.headers) headers.push(name, value);
    if (reply.status !== 204 && reply.status !== 304) {
      headers.push('Content-Length', String(reply.body.length));
    }
    // The rest of an unread body would be parsed as the next request.
    if (this.draining || !request.complete) headers.push('Connection', 'close');
    response.sendDate = false;
    response.writeHead(reply.status, headers);
    const {body} = reply;
    if (body.length <= MAXIMUM_COALESCED_BODY_BYTES) {
      // Node.js combines the header with a string body but not with a buffer.
      response.end(toBuffer(body).toString('latin1'), 'latin1');
    } else {
      response.end(body);
    }
  }

  private handleClientError(error: Error, socket: net.Socket): void {
    const {code} = error as NodeJS.ErrnoException;
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
    // A response here would be taken for that of a request still in progress.
    if (this.cancelSources.has(socket)) {
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

async function readBody(request: http.IncomingMessage): Promise<RequestBody> {
  const declared = request.headers['content-length'];
  if (
    declared === undefined &&
    request.headers['transfer-encoding'] === undefined
  ) {
    return null;
  }
  const iterator = request.iterator({destroyOnReturn: false});
  const chunks: Buffer[] = [];
  if (Number(declared ?? 0) > MAXIMUM_BUFFERED_BYTES) {
    return streamBody(chunks, iterator);
  }
  let bytes = 0;
  for (;;) {
    const item = await iterator.next();
    if (item.done) break;
    chunks.push(item.value as Buffer);
    bytes += (item.value as Buffer).length;
    if (bytes > MAXIMUM_BUFFERED_BYTES) return streamBody(chunks, iterator);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

async function* streamBody(
  buffered: readonly Buffer[],
  remaining: AsyncIterableIterator<unknown>,
): AsyncGenerator<Uint8Array, void, void> {
  yield* buffered;
  for await (const chunk of remaining) yield chunk as Uint8Array;
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
