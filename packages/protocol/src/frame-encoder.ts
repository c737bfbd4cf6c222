import * as runtime from '@camphorwharf/runtime';
// The "encode" entry point of cbor-x never loads native code.
import * as cbor from 'cbor-x/encode';
import type * as frames from './frames.js';

/** Size of the length prefix of a frame. */
export const LENGTH_BYTES = 4;

/** Large enough for a published document of 1 MB with escapes. */
export const MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024;

const encoder = new cbor.Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

/**
 * Encodes a frame as a 4-byte big-endian length and one CBOR value.
 * Throws ProtocolError if the value exceeds `MAXIMUM_FRAME_BYTES`.
 */
export function encodeFrame(frame: frames.Frame): Uint8Array {
  const body: Uint8Array = encoder.encode(frame);
  if (body.length > MAXIMUM_FRAME_BYTES) {
    throw new runtime.ProtocolError(
      `Frame "${frame.kind}" has ${body.length} bytes; at most ` +
        `${MAXIMUM_FRAME_BYTES} are allowed. Send a smaller message.`,
    );
  }
  // The encoder returns a view of its large internal buffer. Copying it
  // avoids retaining that buffer while the frame is in the output queue.
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}
