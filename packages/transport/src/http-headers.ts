import type * as protocol from '@camphorwharf/protocol';

/** Largest sum of header names and values that a caller may send. */
export const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Most headers that a caller may send. */
export const MAXIMUM_HEADER_COUNT = 100;

/** Headers of one hop (RFC 9110, 7.6.1), and what each hop sets itself. */
const HOP_HEADERS = new Set([
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

/** Headers whose repetition would make their meaning ambiguous. */
const SINGLE_HEADERS = new Set([
  'authorization',
  'content-length',
  'host',
  'idempotency-key',
  'transfer-encoding',
]);

export const OWN_HEADER_PREFIX = 'camphorwharf-';

/** Pairs up the flat list that Node.js gives. */
export function pairHeaders(
  flat: ReadonlyArray<string | Uint8Array>,
): Array<readonly [string, string]> {
  const headers: Array<readonly [string, string]> = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push([text(flat[index]), text(flat[index + 1])]);
  }
  return headers;
}

/**
 * Pairs up the headers that pass a hop: neither those of the hop, those that
 * `connection` names included, nor those in `dropped` (in lower case).
 */
export function passedHeaders(
  flat: readonly string[],
  dropped: ReadonlySet<string>,
): Array<readonly [string, string]> {
  const named = connectionTokens(flat);
  const headers: Array<readonly [string, string]> = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    const lower = flat[index].toLowerCase();
    if (HOP_HEADERS.has(lower) || dropped.has(lower)) continue;
    if (named?.has(lower)) continue;
    headers.push([flat[index], flat[index + 1]]);
  }
  return headers;
}

function connectionTokens(flat: readonly string[]): Set<string> | null {
  let named: Set<string> | null = null;
  for (let index = 0; index + 1 < flat.length; index += 2) {
    const name = flat[index];
    if (name.length !== 'connection'.length) continue;
    if (name.toLowerCase() !== 'connection') continue;
    named ??= new Set();
    for (const token of flat[index + 1].split(',')) {
      named.add(token.trim().toLowerCase());
    }
  }
  return named;
}

/** Removes the headers of one hop, those that `connection` names included. */
export function withoutHopHeaders(
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
    return !HOP_HEADERS.has(lower) && !named?.has(lower);
  });
}

/** Returns what is wrong with the headers of a caller, or null. */
export function headerProblem(headers: protocol.HeaderList): string | null {
  if (headers.length > MAXIMUM_HEADER_COUNT) {
    return `more than ${MAXIMUM_HEADER_COUNT} headers`;
  }
  const seen = new Set<string>();
  let bytes = 0;
  for (const [name, value] of headers) {
    bytes += name.length + value.length;
    const lower = name.toLowerCase();
    if (!SINGLE_HEADERS.has(lower) && !lower.startsWith(OWN_HEADER_PREFIX)) {
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

/** Returns a declared content length, or null when there is no valid one. */
export function declaredLength(headers: protocol.HeaderList): number | null {
  const value = headerValue(headers, 'content-length');
  if (value === null || !/^\d{1,15}$/.test(value)) return null;
  return Number(value);
}

function text(value: string | Uint8Array): string {
  if (typeof value === 'string') return value;
  const bytes = Buffer.isBuffer(value)
    ? value
    : Buffer.from(value.buffer, value.byteOffset, value.length);
  return bytes.toString('latin1');
}
