import * as util from 'node:util';
import * as zlib from 'node:zlib';

const deflate = util.promisify<zlib.InputType, Buffer>(zlib.deflateRaw);
const inflate = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(
  zlib.inflateRaw,
);

/** Texts up to this length are sent as they are. */
export const COMPRESSION_THRESHOLD = 8_192;

/**
 * Up to this size the work takes well under a millisecond and runs on the
 * event loop; larger texts go to the thread pool.
 */
const SYNCHRONOUS_LIMIT_BYTES = 65_536;

/** Bound of what a received text may expand to. */
const MAXIMUM_TEXT_BYTES = 8 * 1_048_576;

/** Compresses the text last asked for and keeps the result. */
export class TextCompressor {
  private text: string | null = null;
  private result: Promise<Uint8Array> | null = null;

  compress(text: string): Promise<Uint8Array> {
    if (!this.result || this.text !== text) {
      this.text = text;
      this.result =
        text.length <= SYNCHRONOUS_LIMIT_BYTES
          ? Promise.resolve(zlib.deflateRawSync(text))
          : deflate(text);
    }
    return this.result;
  }
}

/** Throws when the bytes are damaged or expand beyond the bound. */
export async function decompress(bytes: Uint8Array): Promise<string> {
  const options = {maxOutputLength: MAXIMUM_TEXT_BYTES};
  const text =
    bytes.length <= SYNCHRONOUS_LIMIT_BYTES / 16
      ? zlib.inflateRawSync(bytes, options)
      : await inflate(bytes, options);
  return text.toString();
}
