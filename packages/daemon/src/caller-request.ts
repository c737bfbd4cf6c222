import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';

/** Header in which a backend server sends the handle of the parent call. */
export const HANDLE_HEADER = 'camphorwharf-handle';
/** Header in which a caller sets its timeout in milliseconds. */
export const TIMEOUT_HEADER = 'camphorwharf-timeout-ms';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

const INTERNAL_PREFIX = 'camphorwharf-';
const MAXIMUM_KEY_LENGTH = 512;
const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 128;

/** End-to-end headers that the daemon consumes and does not forward. */
const OWN_HEADERS: ReadonlySet<string> = new Set(['authorization', 'host']);

/** The parsed parts of a caller's request. */
export interface CallerRequest {
  readonly service: string;
  /** Path and query below the service, starting with "/". */
  readonly path: string;
  readonly handle: string | null;
  /** SHA-256 of the presented key; the key itself is not kept. */
  readonly keyHash: string | null;
  readonly timeoutMs: number | null;
  readonly idempotencyKey: string | null;
  /** Headers to forward, without the key and internal headers. */
  readonly headers: protocol.HeaderList;
}

export type ParsedCallerRequest =
  | {readonly kind: 'valid'; readonly request: CallerRequest}
  | {readonly kind: 'invalid'; readonly reason: protocol.RefusalReasonName};

/**
 * Parses a caller's request. Replaces the key by its hash, so that no later
 * code can leak the key.
 */
export function parseCallerRequest(
  target: string,
  headers: protocol.HeaderList,
): ParsedCallerRequest {
  const location = splitTarget(target);
  if (!location) return invalid('routeUnknown');
  const read = readHeaders(headers);
  if (!read) return invalid('headerInvalid');
  const authorization = read.single.get('authorization');
  let keyHash: string | null = null;
  if (authorization !== undefined) {
    keyHash = hashBearerKey(authorization);
    if (keyHash === null) return invalid('keyMalformed');
  }
  const timeoutMs = readTimeout(read.single.get(TIMEOUT_HEADER));
  if (timeoutMs === undefined) return invalid('headerInvalid');
  const idempotencyKey = read.single.get(IDEMPOTENCY_KEY_HEADER) ?? null;
  if (
    idempotencyKey !== null &&
    idempotencyKey.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH
  ) {
    return invalid('idempotencyKeyInvalid');
  }
  return {
    kind: 'valid',
    request: {
      ...location,
      handle: read.single.get(HANDLE_HEADER) ?? null,
      keyHash,
      timeoutMs,
      idempotencyKey,
      headers: read.passed,
    },
  };
}

/** Removes headers that must not be forwarded, from requests and responses. */
export function passedHeaders(
  headers: protocol.HeaderList,
): protocol.HeaderList {
  return transport.removeHopByHopHeaders(headers).filter(([header]) => {
    const lower = header.toLowerCase();
    return !OWN_HEADERS.has(lower) && !lower.startsWith(INTERNAL_PREFIX);
  });
}

function splitTarget(
  target: string,
): Pick<CallerRequest, 'service' | 'path'> | null {
  const match = /^\/([a-z0-9][a-z0-9.-]*)(\/[^#]*|\?[^#]*)?$/.exec(target);
  if (!match) return null;
  const rest = match[2] ?? '/';
  return {service: match[1], path: rest.startsWith('/') ? rest : `/${rest}`};
}

/** Headers that may occur only once, since two values would be ambiguous. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'content-length',
  IDEMPOTENCY_KEY_HEADER,
  HANDLE_HEADER,
  TIMEOUT_HEADER,
]);

function readHeaders(headers: protocol.HeaderList): {
  readonly single: ReadonlyMap<string, string>;
  readonly passed: protocol.HeaderList;
} | null {
  const single = new Map<string, string>();
  for (const [header, value] of headers) {
    const lower = header.toLowerCase();
    if (!SINGLE_HEADERS.has(lower)) continue;
    if (single.has(lower)) return null;
    single.set(lower, value);
  }
  const passed = passedHeaders(headers).filter(
    ([header]) => header.toLowerCase() !== IDEMPOTENCY_KEY_HEADER,
  );
  return {single, passed};
}

function hashBearerKey(authorization: string): string | null {
  const match = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization);
  if (!match || match[1].length > MAXIMUM_KEY_LENGTH) return null;
  return runtime.sha256Hex(match[1]);
}

/** Returns null without the header, undefined if its value is invalid. */
function readTimeout(text: string | undefined): number | null | undefined {
  if (text === undefined) return null;
  if (!/^[1-9]\d{0,7}$/.test(text)) return undefined;
  return Number(text);
}

function invalid(reason: protocol.RefusalReasonName): ParsedCallerRequest {
  return {kind: 'invalid', reason};
}
