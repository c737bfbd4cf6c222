import type * as http from 'node:http';

/** Bodies up to this size are buffered so that they can be sent again. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

export type RequestBody = Uint8Array | AsyncIterable<Uint8Array> | null;

/**
 * Reads a body into a buffer, or as a stream if it exceeds the buffering limit.
 * Throws if the client aborts the request.
 */
export async function readBody(
  request: http.IncomingMessage,
): Promise<RequestBody> {
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
