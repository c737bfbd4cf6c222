import * as util from 'node:util';
import * as zlib from 'node:zlib';

const deflate = util.promisify<zlib.InputType, Buffer>(zlib.deflateRaw);
const inflate = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(
  zlib.inflateRaw,
);

/** Texts up to this length are sent as they are. */
export const COMPRESSION_THRESHOLD = 8_192;

/** Bound of what a received text may expand to. */
const MAXIMUM_TEXT_BYTES = 8 * 1_048_576;

/** Compresses the text last asked for and keeps the result. */
export class TextCompressor {
  private text: string | null = null;
  private result: Promise<Uint8Array> | null = null;

  compress(text: string): Promise<Uint8Array> {
    if (!this.result || this.text !== text) {
      this.text = text;
      this.result = deflate(text);
    }
    return this.result;
  }
}

/** Throws when the bytes are damaged or expand beyond the bound. */
export async function decompress(bytes: Uint8Array): Promise<string> {
  const text = await inflate(bytes, {maxOutputLength: MAXIMUM_TEXT_BYTES});
  return text.toString();
}
