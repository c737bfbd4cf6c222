import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';

/** The published document holds at most 1 MB. */
const MAXIMUM_DOCUMENT_BYTES = 1024 * 1024;

/** 11,000 entries of about 250 bytes, with room for growth. */
const MAXIMUM_HOSTS_BYTES = 4 * 1024 * 1024;

/** Room for the revision, the field names and escapes around the value. */
const ENVELOPE_BYTES = 64 * 1024;

/** What an answer may take beyond the wait that was asked for. */
const ANSWER_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** A value that the platform publishes; `text` is not validated here. */
export interface PlatformValue {
  readonly revision: number;
  /** JSON text. */
  readonly text: string;
}

/** The read side of the users' configuration service. */
export interface Platform {
  /**
   * Reads the document. With a revision the platform waits up to `waitMs`
   * for a newer one. Throws TimeoutError, ConnectionError, or ProtocolError
   * for an answer that is malformed or too large.
   */
  readDocument(
    afterRevision: number | null,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PlatformValue | 'unchanged'>;
  /** Reads the list of live and leaving hosts; like `readDocument`. */
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

/** HTTP client for the platform. */
export class PlatformClient implements Platform {
  private readonly pool: undici.Pool;

  constructor(private readonly options: PlatformClientOptions) {
    this.pool = new undici.Pool(options.origin, {
      // One waiting read of the document, one of the list, and one spare.
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

  /** Closes every connection; waiting reads fail. */
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
    const limitMs = waitMs + ANSWER_TIMEOUT_MS;
    const ended = new AbortController();
    const expired = new AbortController();
    void this.options.clock.delay(limitMs, ended.signal).then(() => {
      if (!ended.signal.aborted) expired.abort();
    });
    try {
      const response = await this.pool.request({
        method: 'GET',
        path: `/v1/${name}?${query}`,
        signal: AbortSignal.any([signal, expired.signal]),
      });
      const text = await readLimited(response.body, maximumBytes);
      if (response.statusCode === 304) return 'unchanged';
      if (response.statusCode !== 200) {
        throw new runtime.ConnectionError(
          `The platform answered status ${response.statusCode} for ${name}. ` +
            'Check the platform; the values in force stay.',
        );
      }
      return parseValue(name, text, maximumBytes);
    } catch (cause) {
      if (cause instanceof runtime.BaseError) throw cause;
      if (expired.signal.aborted) {
        throw new runtime.TimeoutError(
          `The platform did not answer for ${name} within ${limitMs} ms. ` +
            'Check the platform; the values in force stay.',
          {cause},
        );
      }
      throw new runtime.ConnectionError(
        `Reading ${name} from the platform failed. Check its address and ` +
          'that it runs; the values in force stay.',
        {cause},
      );
    } finally {
      ended.abort();
    }
  }
}

async function readLimited(
  body: AsyncIterable<Uint8Array>,
  maximumBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    // A document in a JSON string needs up to twice its size for escapes.
    if (bytes > 2 * maximumBytes + ENVELOPE_BYTES) throw tooLarge(maximumBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
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
    throw malformed(name, 'its revision is not a count');
  }
  if (content === undefined || content === null) {
    throw malformed(name, `the field "${name}" is absent`);
  }
  // The published value is JSON, in a string or in place.
  const raw = typeof content === 'string' ? content : JSON.stringify(content);
  if (Buffer.byteLength(raw) > maximumBytes) throw tooLarge(maximumBytes);
  return {revision: revision as number, text: raw};
}

function malformed(name: string, reason: string, cause?: unknown): Error {
  return new runtime.ProtocolError(
    `The platform's answer for ${name} is malformed: ${reason}. Check the ` +
      'platform; the values in force stay.',
    {cause},
  );
}

function tooLarge(maximumBytes: number): Error {
  return new runtime.ProtocolError(
    `The platform's answer is larger than ${maximumBytes} bytes. Publish a ` +
      'smaller value; the one in force stays.',
  );
}
