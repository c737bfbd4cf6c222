import type * as protocol from '@camphorwharf/protocol';

/** Maximum total size of the header names and values of a request. */
export const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Maximum number of headers of a request. */
export const MAXIMUM_HEADER_COUNT = 100;

/**
 * Hop-by-hop headers (RFC 9110, 7.6.1) and headers that each hop sets itself.
 */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that are ambiguous when repeated. */
const SINGLETON_HEADERS = new Set([
  'authorization',
  'content-length',
  'host',
  'idempotency-key',
  'transfer-encoding',
]);

export const PRODUCT_HEADER_PREFIX = 'camphorwharf-';

/**
 * Converts the raw headers of Node.js, a flat list, to name and value pairs.
 */
export function pairRawHeaders(
  rawHeaders: ReadonlyArray<string | Uint8Array>,
): Array<readonly [string, string]> {
  const headers: Array<readonly [string, string]> = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push([
      decodeHeaderText(rawHeaders[index]),
      decodeHeaderText(rawHeaders[index + 1]),
    ]);
  }
  return headers;
}

/**
 * Returns the end-to-end headers: without hop-by-hop headers, those listed in
 * `connection`, and those in `dropped` (lowercase names).
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): Array<readonly [string, string]> {
  const connectionOptions = parseConnectionOptions(rawHeaders);
  const headers: Array<readonly [string, string]> = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const lower = rawHeaders[index].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || dropped.has(lower)) continue;
    if (connectionOptions?.has(lower)) continue;
    headers.push([rawHeaders[index], rawHeaders[index + 1]]);
  }
  return headers;
}

function parseConnectionOptions(
  rawHeaders: readonly string[],
): Set<string> | null {
  let connectionOptions: Set<string> | null = null;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (name.length !== 'connection'.length) continue;
    if (name.toLowerCase() !== 'connection') continue;
    connectionOptions ??= new Set();
    for (const token of rawHeaders[index + 1].split(',')) {
      connectionOptions.add(token.trim().toLowerCase());
    }
  }
  return connectionOptions;
}

/** Removes hop-by-hop headers, including those listed in `connection`. */
export function removeHopByHopHeaders(
  headers: protocol.HeaderList,
): Array<readonly [string, string]> {
  let named: Set<string> | null = null;
  for (const [name, value] of headers) {
    if (name.toLowerCase() !== 'connection') continue;
    named ??= new Set();
    for (const token of value.split(',')) named.add(token.trim().toLowerCase());
  }
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !named?.has(lower);
  });
}

/** Describes why the headers of a request are invalid, or returns null. */
export function findHeaderError(headers: protocol.HeaderList): string | null {
  if (headers.length > MAXIMUM_HEADER_COUNT) {
    return `more than ${MAXIMUM_HEADER_COUNT} headers`;
  }
  const seen = new Set<string>();
  let bytes = 0;
  for (const [name, value] of headers) {
    bytes += name.length + value.length;
    const lower = name.toLowerCase();
    if (
      !SINGLETON_HEADERS.has(lower) &&
      !lower.startsWith(PRODUCT_HEADER_PREFIX)
    ) {
      continue;
    }
    if (seen.has(lower)) return `header ${lower} is repeated`;
    seen.add(lower);
  }
  if (bytes > MAXIMUM_HEADER_BYTES) {
    return `more than ${MAXIMUM_HEADER_BYTES} bytes of headers`;
  }
  if (seen.has('content-length') && seen.has('transfer-encoding')) {
    return 'content-length and transfer-encoding together';
  }
  return null;
}

/** Returns the first value of a header, or null. */
export function headerValue(
  headers: protocol.HeaderList,
  lowerName: string,
): string | null {
  for (const [name, value] of headers) {
    if (name.length === lowerName.length && name.toLowerCase() === lowerName) {
      return value;
    }
  }
  return null;
}

/** Returns the value of `content-length`, or null if absent or invalid. */
export function declaredLength(headers: protocol.HeaderList): number | null {
  const value = headerValue(headers, 'content-length');
  if (value === null || !/^\d{1,15}$/.test(value)) return null;
  return Number(value);
}

function decodeHeaderText(value: string | Uint8Array): string {
  if (typeof value === 'string') return value;
  const bytes = Buffer.isBuffer(value)
    ? value
    : Buffer.from(value.buffer, value.byteOffset, value.length);
  return bytes.toString('latin1');
}
