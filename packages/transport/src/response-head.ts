import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';

/**
 * Start of a response. A proxy, as in `Via: HTTP/1.1 192.168.0.1`, does not
 * match.
 */
const STATUS_LINE = /HTTP\/\d(\.\d)? \d{3}(?=\s|$)/;

const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;

/** Whether the text contains the first line of a response. */
export function containsStatusLine(text: string): boolean {
  return STATUS_LINE.test(text);
}

/** Length of the longest start of a status line that lacks its last digit. */
const MAXIMUM_PARTIAL_STATUS_LINE_BYTES = 'HTTP/1.1 20'.length;

/** The start of a status line, from its first byte to all but its last digit. */
const PARTIAL_STATUS_LINE =
  /(H|HT|HTT|HTTP|HTTP\/|HTTP\/\d|HTTP\/\d\.|HTTP\/\d\.\d|HTTP\/\d(\.\d)? \d{0,2})$/;

/** First byte of a status line, an `H`. */
const STATUS_LINE_START = 0x48;

/** Whether another response has taken the place of the end of a body. */
export type Continuation = 'none' | 'possible' | 'found';

/**
 * Looks for the start of another response in a body. It is only suspicious if
 * further bytes follow the body, which may still arrive when the start is at
 * its end.
 */
export function findContinuation(
  body: Uint8Array,
  hasTrailingBytes: boolean,
): Continuation {
  if (mayEndWithStatusLine(body)) {
    const tail = body.subarray(-MAXIMUM_PARTIAL_STATUS_LINE_BYTES - 1);
    const end = Buffer.from(tail).toString('latin1');
    if (PARTIAL_STATUS_LINE.test(end) || containsStatusLine(end)) {
      return hasTrailingBytes ? 'found' : 'possible';
    }
  }
  return hasTrailingBytes &&
    containsStatusLine(Buffer.from(body).toString('latin1'))
    ? 'found'
    : 'none';
}

/** Looks for its first byte only: most bodies then need no copy of their end. */
function mayEndWithStatusLine(body: Uint8Array): boolean {
  const start = body.length - MAXIMUM_PARTIAL_STATUS_LINE_BYTES - 1;
  return body.includes(STATUS_LINE_START, Math.max(0, start));
}

/** The first line and the headers of a response. */
export interface ResponseHead {
  readonly statusMessage: string;
  readonly headers: protocol.HeaderList;
}

/**
 * Returns the error for a head that cannot be that of a single response, or
 * null. A parser takes a response that follows a truncated head for the rest of
 * that head; it then combines the status of one response with the request id of
 * the other, and proves nothing about either request.
 */
export function findHeadError(head: ResponseHead): Error | null {
  const description = describeHeadFault(head);
  if (description === null) return null;
  return new runtime.ProtocolError(
    `The response head is not that of one response: ${description}. Check ` +
      'whether the backend server truncates responses or sends bytes that ' +
      'belong to no request.',
  );
}

/** Returns the error for trailers that contain another response, or null. */
export function findTrailerError(trailers: protocol.HeaderList): Error | null {
  return findHeadError({statusMessage: '', headers: trailers});
}

function describeHeadFault(head: ResponseHead): string | null {
  if (containsStatusLine(head.statusMessage)) {
    return 'its reason phrase contains a status line';
  }
  let contentLength: string | null = null;
  let codings: string[] | null = null;
  for (const [name, value] of head.headers) {
    if (containsStatusLine(value)) {
      return `header ${name.toLowerCase()} contains a status line`;
    }
    switch (name.toLowerCase()) {
      case 'content-length':
        if (!/^\d+$/.test(value)) return 'content-length is not a number';
        if (contentLength !== null && contentLength !== value) {
          return 'it has two content lengths';
        }
        contentLength = value;
        break;
      case 'transfer-encoding':
        codings = [...(codings ?? []), ...splitList(value)];
        break;
      case 'connection':
        if (!splitList(value).every(option => TOKEN.test(option))) {
          return 'connection is not a list of options';
        }
        break;
    }
  }
  if (codings === null) return null;
  if (contentLength !== null) {
    return 'it has content-length and transfer-encoding';
  }
  return codings.length > 0 && codings.indexOf('chunked') === codings.length - 1
    ? null
    : 'transfer-encoding does not end with a single chunked';
}

/** Splits a list in lower case; empty elements are allowed (RFC 9110, 5.6.1). */
function splitList(value: string): string[] {
  return value
    .toLowerCase()
    .split(',')
    .map(element => element.trim())
    .filter(element => element !== '');
}
