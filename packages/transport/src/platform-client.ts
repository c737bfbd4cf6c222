import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as bodyBuffer from './body-buffer.js';

/** Size limit of the published document. */
const MAXIMUM_DOCUMENT_BYTES = 1024 * 1024;

/** Fits 11,000 hosts of about 250 bytes each, with room for growth. */
const MAXIMUM_HOSTS_BYTES = 4 * 1024 * 1024;

/** Allowance for the revision, field names and escapes around the value. */
const ENVELOPE_BYTES = 64 * 1024;

/** Time allowed for a response beyond the requested wait. */
const RESPONSE_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** A value published by the platform. */
export interface PlatformValue {
  readonly revision: number;
  /** JSON text, not validated by the client. */
  readonly text: string;
}

/** Read access to the platform, the users' configuration service. */
export interface Platform {
  /**
   * Reads the document. If `afterRevision` is set, the platform waits up to
   * `waitMs` for a newer revision (long polling). Throws TimeoutError,
   * ConnectionError, or ProtocolError for a malformed or too large response.
   */
  readDocument(
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'>;
  /** Reads the list of live and leaving hosts, like `readDocument`. */
  readHosts(
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'>;
}

export interface PlatformClientOptions {
  readonly clock: runtime.Clock;
  /** For example `http://10.0.0.5:7000`. */
  readonly origin: string;
}

/**
 * HTTP client of packages/daemon for the platform. packages/host-daemon reads
 * through a `StateReader` instead.
 */
export class PlatformClient implements Platform {
  private readonly pool: undici.Pool;

  constructor(private readonly options: PlatformClientOptions) {
    this.pool = new undici.Pool(options.origin, {
      // One long poll for the document, one for the host list, and one spare.
      connections: 3,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  readDocument(
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'> {
    return this.read(
      'document',
      MAXIMUM_DOCUMENT_BYTES,
      afterRevision,
      waitMs,
      signal,
    );
  }

  readHosts(
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'> {
    return this.read(
      'hosts',
      MAXIMUM_HOSTS_BYTES,
      afterRevision,
      waitMs,
      signal,
    );
  }

  /** Closes all connections; pending reads fail. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async read(
    name: 'document' | 'hosts',
    maximumBytes: number,
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'> {
    const query = new URLSearchParams({wait: String(Math.floor(waitMs))});
    if (afterRevision !== null) query.set('after', String(afterRevision));
    const timeoutMs = waitMs + RESPONSE_TIMEOUT_MS;
    const settled = new AbortController();
    const timedOut = new AbortController();
    void this.options.clock.delay(timeoutMs, settled.signal).then(() => {
      if (!settled.signal.aborted) timedOut.abort();
    });
    try {
      const response = await this.pool.request({
        method: 'GET',
        path: `/v1/${name}?${query}`,
        signal: AbortSignal.any([signal, timedOut.signal]),
      });
      const text = await readLimited(response.body, maximumBytes);
      if (response.statusCode === 304) return 'unchanged';
      if (response.statusCode !== 200) {
        throw new runtime.ConnectionError(
          `The platform returned status ${response.statusCode} for ${name}. ` +
            'Check the platform; the current values stay in force.',
        );
      }
      return parseValue(name, text, maximumBytes);
    } catch (cause) {
      if (cause instanceof runtime.BaseError) throw cause;
      if (timedOut.signal.aborted) {
        throw new runtime.TimeoutError(
          `The platform did not return ${name} within ${timeoutMs} ms. ` +
            'Check the platform; the current values stay in force.',
          {cause},
        );
      }
      throw new runtime.ConnectionError(
        `Reading ${name} from the platform failed. Check its address and ` +
          'that it runs; the current values stay in force.',
        {cause},
      );
    } finally {
      settled.abort();
    }
  }
}

async function readLimited(
  body: AsyncIterable<Uint8Array>,
  maximumBytes: number,
): Promise<string> {
  const buffer = new bodyBuffer.BodyBuffer(null);
  // Escapes can double the size of a document inside a JSON string.
  const limitBytes = 2 * maximumBytes + ENVELOPE_BYTES;
  for await (const chunk of body) {
    buffer.append(chunk);
    if (buffer.length > limitBytes) throw tooLarge(maximumBytes);
  }
  return buffer.takeText();
}

function parseValue(
  name: 'document' | 'hosts',
  text: string,
  maximumBytes: number,
): PlatformValue {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    throw malformed(name, 'it is not JSON', cause);
  }
  if (typeof value !== 'object' || value === null) {
    throw malformed(name, 'it is not an object');
  }
  const {revision, [name]: content} = value as Record<string, unknown>;
  if (!Number.isSafeInteger(revision) || (revision as number) < 0) {
    throw malformed(name, 'its revision is not a non-negative integer');
  }
  if (content === undefined || content === null) {
    throw malformed(name, `the field "${name}" is missing`);
  }
  // The published value is either a string of JSON text or embedded JSON.
  const json = typeof content === 'string' ? content : JSON.stringify(content);
  if (Buffer.byteLength(json) > maximumBytes) throw tooLarge(maximumBytes);
  return {revision: revision as number, text: json};
}

function malformed(name: string, reason: string, cause?: unknown): Error {
  return new runtime.ProtocolError(
    `The platform's response for ${name} is malformed: ${reason}. Check the ` +
      'platform; the current values stay in force.',
    {cause},
  );
}

function tooLarge(maximumBytes: number): Error {
  return new runtime.ProtocolError(
    `The platform's response exceeds ${maximumBytes} bytes. Publish a ` +
      'smaller value; the current value stays in force.',
  );
}
