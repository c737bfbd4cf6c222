import * as runtime from '@camphorwharf/runtime';

/** No message nests deeper; deeper input would exhaust the decoder's stack. */
const MAXIMUM_NESTING = 24;

/**
 * The largest frame of real messages has about 110,000 items. A frame of
 * 2 MB can hold 2 million, which take 50 times their encoded size as objects.
 */
const MAXIMUM_ITEMS = 262_144;

/**
 * Checks that bytes [start, end) are one CBOR value of the plain subset that
 * `encodeFrame` writes, before a decoder builds any object from them. Tags
 * are rejected because the decoder turns some of them into dates, regular
 * expressions, errors or cyclic values.
 *
 * Throws ProtocolError.
 */
export function checkCborStructure(
  bytes: Uint8Array,
  start: number,
  end: number,
): void {
  const remaining = [1];
  let position = start;
  let items = 0;
  while (remaining.length > 0) {
    if (--remaining[remaining.length - 1] === 0) remaining.pop();
    if (position >= end) throw invalid('it is truncated');
    if (++items > MAXIMUM_ITEMS) throw invalid('it has too many items');
    const initial = bytes[position++];
    const major = initial >> 5;
    const information = initial & 0x1f;
    if (major === 7) {
      position += simpleValueBytes(information);
      continue;
    }
    let argument = information;
    if (information > 23) {
      const width = 1 << (information - 24);
      if (width > 4 || information > 26) {
        throw invalid('it has an indefinite or 64-bit argument');
      }
      if (position + width > end) throw invalid('it is truncated');
      argument = 0;
      for (let index = 0; index < width; index++) {
        argument = argument * 256 + bytes[position++];
      }
    }
    if (major === 2 || major === 3) {
      position += argument;
    } else if (major === 4 || major === 5) {
      const children = major === 5 ? argument * 2 : argument;
      if (children > end - position) throw invalid('it is truncated');
      if (children > 0) {
        if (remaining.length >= MAXIMUM_NESTING) {
          throw invalid('it is nested too deeply');
        }
        remaining.push(children);
      }
    } else if (major === 6) {
      throw invalid('it has a tag');
    }
  }
  if (position !== end) {
    throw invalid(position > end ? 'it is truncated' : 'bytes follow its end');
  }
}

function simpleValueBytes(information: number): number {
  if (information >= 20 && information <= 23) return 0;
  if (information >= 25 && information <= 27) return 1 << (information - 24);
  throw invalid('it has an unassigned simple value');
}

function invalid(reason: string): InstanceType<typeof runtime.ProtocolError> {
  return new runtime.ProtocolError(
    `Frame is not plain CBOR: ${reason}. Check that the other end is a ` +
      'camphorwharf daemon of a compatible version.',
  );
}
