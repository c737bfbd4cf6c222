import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as backendExchange from './backend-exchange.js';
import * as httpHeaders from './http-headers.js';

const DEFAULT_CONNECTIONS = 1_024;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Health and load answers are short; the rest is not read. */
const MAXIMUM_PROBE_BYTES = 64 * 1024;

export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Headers of the hop are removed. */
  readonly headers: protocol.HeaderList;
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Declared length of the body; null sends it in chunked coding. */
  readonly contentLength: number | null;
  /** Time left in milliseconds; the connection is closed after it. */
  readonly deadlineMs: number;
  /** Aborting closes the connection. */
  readonly signal: AbortSignal;
}

export interface BackendClientOptions {
  readonly clock: runtime.Clock;
  readonly address: string;
  readonly port: number;
  /** The most connections to the backend server. */
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
}

/** The answer to a probe of the health or load path. */
export interface ProbeAnswer {
  readonly status: number;
  readonly headers: protocol.HeaderList;
  readonly body: string;
}

/** HTTP client for the local backend server. It never repeats a request. */
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

  /** Resolves at the answer head or when there will be none. Never throws. */
  send(request: BackendRequest): Promise<backendExchange.BackendResult> {
    return backendExchange.exchange(this.pool, request, this.options.clock);
  }

  /**
   * Asks on a connection of its own, so that the state of the pooled ones
   * cannot hide a backend server that is gone. Throws TimeoutError or
   * ConnectionError.
   */
  async probe(path: string, timeoutMs: number): Promise<ProbeAnswer> {
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

  /** Waits for running requests, then closes the connections. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes every connection at once. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}

function clientOptions(connectTimeoutMs: number): undici.Client.Options {
  return {
    pipelining: 1,
    connect: {timeout: connectTimeoutMs},
    // Each request has its own deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: httpHeaders.MAXIMUM_HEADER_BYTES,
    keepAliveTimeout: 10_000,
  };
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > MAXIMUM_PROBE_BYTES) {
      throw new runtime.ProtocolError(
        `Probe answer is longer than ${MAXIMUM_PROBE_BYTES} bytes. Shorten ` +
          'the health and load answers of the backend server.',
      );
    }
  }
  return Buffer.concat(chunks).toString('utf8');
}
