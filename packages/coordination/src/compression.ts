import * as util from 'node:util';
import * as zlib from 'node:zlib';

const deflate = util.promisify<zlib.InputType, Buffer>(zlib.deflateRaw);
const inflate = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(
  zlib.inflateRaw,
);

/** Texts up to this length are sent uncompressed. */
export const COMPRESSION_THRESHOLD_CHARACTERS = 8_192;

/**
 * Up to this size, compression takes well under a millisecond and runs on the
 * event loop; larger texts are compressed in the thread pool.
 */
const MAXIMUM_SYNCHRONOUS_BYTES = 65_536;

/** Maximum decompressed size of a received text. */
const MAXIMUM_DECOMPRESSED_BYTES = 8 * 1_048_576;

/** Compresses a text with raw DEFLATE. */
export async function compress(text: string): Promise<Uint8Array> {
  return text.length <= MAXIMUM_SYNCHRONOUS_BYTES
    ? zlib.deflateRawSync(text)
    : deflate(text);
}

/** Throws when the bytes are corrupt or exceed the maximum decompressed size. */
export async function decompress(bytes: Uint8Array): Promise<string> {
  const options = {maxOutputLength: MAXIMUM_DECOMPRESSED_BYTES};
  const text =
    bytes.length <= MAXIMUM_SYNCHRONOUS_BYTES / 16
      ? zlib.inflateRawSync(bytes, options)
      : await inflate(bytes, options);
  return text.toString();
}
