import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as bodyBuffer from './body-buffer.js';
import * as backendExchange from './backend-exchange.js';
import * as httpHeaders from './http-headers.js';

const DEFAULT_CONNECTIONS = 1_024;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Health and load responses are short; a longer one fails the probe. */
const MAXIMUM_PROBE_BYTES = 64 * 1024;

export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Hop-by-hop headers are removed. */
  readonly headers: protocol.HeaderList;
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Length of the body; null sends it with chunked encoding. */
  readonly contentLength: number | null;
  /** Remaining time in milliseconds, after which the connection is closed. */
  readonly deadlineMs: number;
  /** Aborting closes the connection. */
  readonly signal: AbortSignal;
}

export interface BackendClientOptions {
  readonly clock: runtime.Clock;
  readonly address: string;
  readonly port: number;
  /** Maximum number of connections to the backend server. */
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
}

/** The response to a probe of the health or load path. */
export interface ProbeResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
  readonly body: string;
}

/**
 * HTTP client of packages/daemon for the local backend server, which streams
 * responses. `BufferedExchangeClient`, for packages/host-daemon, returns whole
 * responses. Requests are never retried.
 */
export class BackendServerClient {
  private readonly pool: undici.Pool;
  private readonly origin: string;

  constructor(private readonly options: BackendClientOptions) {
    const host = options.address.includes(':')
      ? `[${options.address}]`
      : options.address;
    this.origin = `http://${host}:${options.port}`;
    this.pool = new undici.Pool(this.origin, {
      ...clientOptions(options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS),
      connections: options.connections ?? DEFAULT_CONNECTIONS,
    });
  }

  /** Resolves on the response head or when the request fails. Never rejects. */
  send(request: BackendRequest): Promise<backendExchange.BackendResult> {
    return backendExchange.exchange(this.pool, request, this.options.clock);
  }

  /**
   * Sends a GET request on a new connection: a pooled connection could hide
   * that the backend server no longer accepts connections. Throws TimeoutError,
   * ConnectionError or ProtocolError.
   */
  async probe(path: string, timeoutMs: number): Promise<ProbeResponse> {
    const client = new undici.Client(this.origin, clientOptions(timeoutMs));
    try {
      const result = await backendExchange.exchange(
        client,
        {
          method: 'GET',
          path,
          headers: [],
          body: null,
          contentLength: null,
          deadlineMs: timeoutMs,
          signal: new AbortController().signal,
        },
        this.options.clock,
      );
      if (result.kind !== 'answer') throw result.error;
      return {
        status: result.status,
        headers: result.headers,
        body: await readText(result.body),
      };
    } finally {
      await client.destroy();
    }
  }

  /** Waits for requests in flight, then closes all connections. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes all connections immediately. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}

function clientOptions(connectTimeoutMs: number): undici.Client.Options {
  return {
    pipelining: 1,
    connect: {timeout: connectTimeoutMs},
    // Disabled, because each request has its own deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES,
    keepAliveTimeout: 10_000,
  };
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const buffer = new bodyBuffer.BodyBuffer(null);
  for await (const chunk of body) {
    buffer.append(chunk);
    if (buffer.length > MAXIMUM_PROBE_BYTES) {
      throw new runtime.ProtocolError(
        `The probe response exceeds ${MAXIMUM_PROBE_BYTES} bytes. Shorten ` +
          'the health and load responses of the backend server.',
      );
    }
  }
  return buffer.takeText();
}
