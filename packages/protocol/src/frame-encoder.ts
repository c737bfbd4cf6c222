import * as runtime from '@camphorwharf/runtime';
// The package's "encode" entry is the one that never loads native code.
import * as cbor from 'cbor-x/encode';
import type * as frames from './frames.js';

/** Bytes of the length field before each frame. */
export const LENGTH_BYTES = 4;

/** A whole published document of 1 MB fits, with room for escapes. */
export const MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024;

const encoder = new cbor.Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

/**
 * Encodes a frame: 4-byte big-endian length, then one CBOR value.
 * Throws ProtocolError when the frame is larger than `MAXIMUM_FRAME_BYTES`.
 */
export function encodeFrame(frame: frames.Frame): Uint8Array {
  const body: Uint8Array = encoder.encode(frame);
  if (body.length > MAXIMUM_FRAME_BYTES) {
    throw new runtime.ProtocolError(
      `Frame "${frame.kind}" has ${body.length} bytes; at most ` +
        `${MAXIMUM_FRAME_BYTES} fit. Send a smaller message.`,
    );
  }
  // The encoder's result is a view of its large work buffer. A copy lets
  // that buffer go while the frame waits in the output queue.
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}
