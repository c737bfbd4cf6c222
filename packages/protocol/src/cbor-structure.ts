import * as runtime from '@camphorwharf/runtime';

/** No message nests deeper, and deep input would overflow the call stack. */
const MAXIMUM_NESTING = 24;

/**
 * The largest legitimate frame has about 110,000 items. A 2 MB frame could
 * hold 2 million, which take 50 times their encoded size once decoded.
 */
const MAXIMUM_ITEMS = 262_144;

/**
 * Checks that bytes [start, end) hold exactly one CBOR value of the subset
 * written by `encodeFrame`, before the decoder creates any object. Tags are
 * rejected because the decoder converts some of them into dates, regular
 * expressions, errors or cyclic values.
 *
 * Throws ProtocolError.
 */
export function checkCborStructure(
  bytes: Uint8Array,
  start: number,
  end: number,
): void {
  const remainingItems = [1];
  let position = start;
  let itemCount = 0;
  while (remainingItems.length > 0) {
    if (--remainingItems[remainingItems.length - 1] === 0) remainingItems.pop();
    if (position >= end) throw structureError('truncated');
    if (++itemCount > MAXIMUM_ITEMS) throw structureError('too many items');
    const initialByte = bytes[position++];
    const majorType = initialByte >> 5;
    const additionalInfo = initialByte & 0x1f;
    if (majorType === 7) {
      position += simpleValueLength(additionalInfo);
      continue;
    }
    let argumentValue = additionalInfo;
    if (additionalInfo > 23) {
      const argumentLength = 1 << (additionalInfo - 24);
      if (argumentLength > 4 || additionalInfo > 26) {
        throw structureError('indefinite or 64-bit argument');
      }
      if (position + argumentLength > end) throw structureError('truncated');
      argumentValue = 0;
      for (let index = 0; index < argumentLength; index++) {
        argumentValue = argumentValue * 256 + bytes[position++];
      }
    }
    if (majorType === 2 || majorType === 3) {
      position += argumentValue;
    } else if (majorType === 4 || majorType === 5) {
      const childCount = majorType === 5 ? argumentValue * 2 : argumentValue;
      if (childCount > end - position) throw structureError('truncated');
      if (childCount > 0) {
        if (remainingItems.length >= MAXIMUM_NESTING) {
          throw structureError('nested too deeply');
        }
        remainingItems.push(childCount);
      }
    } else if (majorType === 6) {
      throw structureError('tagged value');
    }
  }
  if (position !== end) {
    throw structureError(
      position > end ? 'truncated' : 'bytes after the value',
    );
  }
}

function simpleValueLength(info: number): number {
  if (info >= 20 && info <= 23) return 0;
  if (info >= 25 && info <= 27) return 1 << (info - 24);
  throw structureError('unassigned simple value');
}

function structureError(
  reason: string,
): InstanceType<typeof runtime.ProtocolError> {
  return new runtime.ProtocolError(
    `Frame is not a supported CBOR value: ${reason}. Check that the peer is ` +
      'a camphorwharf daemon of a compatible version.',
  );
}
