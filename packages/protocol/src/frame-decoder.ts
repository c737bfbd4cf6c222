import * as runtime from '@camphorwharf/runtime';
import * as cbor from 'cbor-x/encode';
import * as cborStructure from './cbor-structure.js';
import * as controlSchemas from './control-schemas.js';
import * as frameEncoder from './frame-encoder.js';
import * as frameSchemas from './frame-schemas.js';
import type * as frames from './frames.js';
import * as schema from './schema.js';

/** A control request of a kind that this build does not support. */
export interface UnsupportedRequest {
  readonly kind: 'unsupportedRequest';
  readonly request: number;
}
export type DecodedFrame = frames.Frame | UnsupportedRequest;

/**
 * Splits a byte stream into frames and validates them. `feed` takes chunks in
 * order; `read` returns the next complete frame, or null if more bytes are
 * needed. Byte strings in frames are views of the chunks.
 *
 * After a ProtocolError the next frame boundary is unknown, so the decoder
 * must not be used again.
 */
export class FrameDecoder {
  private readonly decoder = new cbor.Decoder({
    useRecords: false,
    mapsAsObjects: true,
  });
  private buffer: Uint8Array = new Uint8Array(0);
  private position = 0;
  /** Chunks after `buffer`, not copied until a frame is complete. */
  private queuedChunks: Uint8Array[] = [];
  private queuedBytes = 0;
  private unknownFrameCount = 0;

  /** Number of frames skipped for an unknown kind, excluding requests. */
  get unknownFrames(): number {
    return this.unknownFrameCount;
  }

  /** Number of bytes fed that are not part of a frame read so far. */
  get bufferedBytes(): number {
    return this.buffer.length - this.position + this.queuedBytes;
  }

  feed(chunk: Uint8Array): void {
    if (this.bufferedBytes === 0) {
      this.buffer = chunk;
      this.position = 0;
    } else {
      this.queuedChunks.push(chunk);
      this.queuedBytes += chunk.length;
    }
  }

  /** Throws ProtocolError on malformed input. */
  read(): DecodedFrame | null {
    for (;;) {
      if (!this.makeContiguous(frameEncoder.LENGTH_BYTES)) return null;
      const length = this.peekLength();
      if (length === 0 || length > frameEncoder.MAXIMUM_FRAME_BYTES) {
        throw new runtime.ProtocolError(
          `Frame length ${length} is not between 1 and ` +
            `${frameEncoder.MAXIMUM_FRAME_BYTES}. Check that the peer ` +
            'is a camphorwharf daemon and that its port is the peer port.',
        );
      }
      if (!this.makeContiguous(frameEncoder.LENGTH_BYTES + length)) return null;
      const start = this.position + frameEncoder.LENGTH_BYTES;
      this.position = start + length;
      const frame = this.decode(start, start + length);
      if (frame) return frame;
      this.unknownFrameCount++;
    }
  }

  /** Makes `length` bytes contiguous in `buffer`; false if too few were fed. */
  private makeContiguous(length: number): boolean {
    if (this.buffer.length - this.position >= length) return true;
    if (this.bufferedBytes < length) return false;
    this.buffer = Buffer.concat([
      this.buffer.subarray(this.position),
      ...this.queuedChunks,
    ]);
    this.position = 0;
    this.queuedChunks = [];
    this.queuedBytes = 0;
    return true;
  }

  private peekLength(): number {
    const buffer = this.buffer;
    const offset = this.position;
    return (
      buffer[offset] * 0x1000000 +
      (buffer[offset + 1] << 16) +
      (buffer[offset + 2] << 8) +
      buffer[offset + 3]
    );
  }

  private decode(start: number, end: number): DecodedFrame | null {
    cborStructure.checkCborStructure(this.buffer, start, end);
    let value: unknown;
    try {
      value = this.decoder.decode(this.buffer.subarray(start, end));
    } catch (error) {
      throw new runtime.ProtocolError('Frame could not be decoded as CBOR.', {
        cause: error,
      });
    }
    if (!schema.isRecord(value) || typeof value.kind !== 'string') {
      throw new runtime.ProtocolError(
        'Frame is not a map with a string field "kind". Check that the ' +
          'peer is a camphorwharf daemon of a compatible version.',
      );
    }
    const {kind} = value;
    if (kind === 'request') return decodeRequest(value);
    if (kind === 'reply') return decodeReply(value);
    const frameSchema = frameSchemas.frameSchemas.get(kind);
    if (!frameSchema) return null;
    schema.assertValid(value, frameSchema);
    return value as unknown as frames.Frame;
  }
}

const envelopeSchema: schema.Schema = [
  ['request', schema.isUint],
  ['body', value => schema.isRecord(value) && typeof value.kind === 'string'],
];

function decodeRequest(value: schema.UnknownRecord): DecodedFrame {
  schema.assertValid(value, envelopeSchema);
  const body = value.body as schema.UnknownRecord;
  const bodySchema = controlSchemas.requestSchemas.get(body.kind as string);
  if (!bodySchema) {
    return {kind: 'unsupportedRequest', request: value.request as number};
  }
  schema.assertValid(body, bodySchema);
  return value as unknown as frames.Request;
}

function decodeReply(value: schema.UnknownRecord): frames.Reply | null {
  schema.assertValid(value, envelopeSchema);
  const body = value.body as schema.UnknownRecord;
  const bodySchema = controlSchemas.replySchemas.get(body.kind as string);
  if (!bodySchema) return null;
  schema.assertValid(body, bodySchema);
  return value as unknown as frames.Reply;
}
