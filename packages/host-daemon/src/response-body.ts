import type * as http from 'node:http';

/** Bodies up to this size are copied and written together with the header. */
const MAXIMUM_COALESCED_BODY_BYTES = 16 * 1024;

/** Longer bodies are written in parts, which shows whether the client reads. */
const BODY_PART_BYTES = 64 * 1024;

/** Sends the body of a response whose header has been set. */
export function sendBody(
  response: http.ServerResponse,
  body: Uint8Array,
): void {
  if (body.length <= MAXIMUM_COALESCED_BODY_BYTES) {
    // Node.js combines the header with a string body but not with a buffer.
    response.end(toBuffer(body).toString('latin1'), 'latin1');
  } else {
    sendPart(response, body, 0);
  }
}

/** Sends a body from a position on, each part after the one before it. */
function sendPart(
  response: http.ServerResponse,
  body: Uint8Array,
  start: number,
): void {
  const end = start + BODY_PART_BYTES;
  if (end >= body.length) {
    response.end(start === 0 ? body : body.subarray(start));
    return;
  }
  response.write(body.subarray(start, end), error => {
    if (!error) sendPart(response, body, end);
  });
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}
