import * as runtime from '@camphorwharf/runtime';
import * as cbor from 'cbor-x/encode';
import * as cborStructure from './cbor-structure.js';
import * as controlSchemas from './control-schemas.js';
import * as frameEncoder from './frame-encoder.js';
import * as frameSchemas from './frame-schemas.js';
import type * as frames from './frames.js';
import * as schema from './schema.js';

/** A control request of a kind that this build does not know. */
export interface UnsupportedRequest {
  readonly kind: 'unsupportedRequest';
  readonly request: number;
}
export type DecodedFrame = frames.Frame | UnsupportedRequest;

/**
 * Splits a byte stream into frames and checks each one. `feed` takes chunks
 * in order; `read` returns the next complete frame, or null until more bytes
 * are fed. Byte strings in frames are views of the fed chunks.
 *
 * After a ProtocolError the stream has no known frame boundary and the
 * decoder must not be used again.
 */
export class FrameDecoder {
  private readonly decoder = new cbor.Decoder({
    useRecords: false,
    mapsAsObjects: true,
  });
  private pending: Uint8Array = new Uint8Array(0);
  private position = 0;
  /** Chunks after `pending`, kept apart until a whole frame is there. */
  private following: Uint8Array[] = [];
  private followingBytes = 0;
  private skipped = 0;

  /** Frames, requests excepted, that were skipped for an unknown kind. */
  get unknownFrames(): number {
    return this.skipped;
  }

  /** Bytes fed and not yet part of a frame that was read. */
  get bufferedBytes(): number {
    return this.pending.length - this.position + this.followingBytes;
  }

  feed(chunk: Uint8Array): void {
    if (this.bufferedBytes === 0) {
      this.pending = chunk;
      this.position = 0;
    } else {
      this.following.push(chunk);
      this.followingBytes += chunk.length;
    }
  }

  /** Throws ProtocolError on malformed input. */
  read(): DecodedFrame | null {
    for (;;) {
      if (!this.hold(frameEncoder.LENGTH_BYTES)) return null;
      const length = this.peekLength();
      if (length === 0 || length > frameEncoder.MAXIMUM_FRAME_BYTES) {
        throw new runtime.ProtocolError(
          `Frame length ${length} is outside 1 to ` +
            `${frameEncoder.MAXIMUM_FRAME_BYTES}. Check that the other end ` +
            'is a camphorwharf daemon and that its port is the peer port.',
        );
      }
      if (!this.hold(frameEncoder.LENGTH_BYTES + length)) return null;
      const start = this.position + frameEncoder.LENGTH_BYTES;
      this.position = start + length;
      const frame = this.decode(start, start + length);
      if (frame) return frame;
      this.skipped++;
    }
  }

  /** Makes `bytes` contiguous in `pending`; false until that many are fed. */
  private hold(bytes: number): boolean {
    if (this.pending.length - this.position >= bytes) return true;
    if (this.bufferedBytes < bytes) return false;
    this.pending = Buffer.concat([
      this.pending.subarray(this.position),
      ...this.following,
    ]);
    this.position = 0;
    this.following = [];
    this.followingBytes = 0;
    return true;
  }

  private peekLength(): number {
    const bytes = this.pending;
    const at = this.position;
    return (
      bytes[at] * 0x1000000 +
      (bytes[at + 1] << 16) +
      (bytes[at + 2] << 8) +
      bytes[at + 3]
    );
  }

  private decode(start: number, end: number): DecodedFrame | null {
    cborStructure.checkCborStructure(this.pending, start, end);
    let value: unknown;
    try {
      value = this.decoder.decode(this.pending.subarray(start, end));
    } catch (error) {
      throw new runtime.ProtocolError('Frame is not decodable CBOR.', {
        cause: error,
      });
    }
    if (!schema.isFields(value) || typeof value.kind !== 'string') {
      throw new runtime.ProtocolError(
        'Frame is not a map with a text field "kind". Check that the other ' +
          'end is a camphorwharf daemon of a compatible version.',
      );
    }
    const {kind} = value;
    if (kind === 'request') return decodeRequest(value);
    if (kind === 'reply') return decodeReply(value);
    const known = frameSchemas.frameShapes.get(kind);
    if (!known) return null;
    schema.requireShape(value, known);
    return value as unknown as frames.Frame;
  }
}

const envelope: schema.Shape = [
  ['request', schema.isCount],
  ['body', value => schema.isFields(value) && typeof value.kind === 'string'],
];

function decodeRequest(value: schema.Fields): DecodedFrame {
  schema.requireShape(value, envelope);
  const body = value.body as schema.Fields;
  const known = controlSchemas.requestShapes.get(body.kind as string);
  if (!known) {
    return {kind: 'unsupportedRequest', request: value.request as number};
  }
  schema.requireShape(body, known);
  return value as unknown as frames.Request;
}

function decodeReply(value: schema.Fields): frames.Reply | null {
  schema.requireShape(value, envelope);
  const body = value.body as schema.Fields;
  const known = controlSchemas.replyShapes.get(body.kind as string);
  if (!known) return null;
  schema.requireShape(body, known);
  return value as unknown as frames.Reply;
}
