import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as heartbeatState from './heartbeat-state.js';
import type * as options from './peer-options.js';

const VERSIONS: protocol.VersionRange = {
  versionMinimum: protocol.PROTOCOL_VERSION_MINIMUM,
  versionMaximum: protocol.PROTOCOL_VERSION_MAXIMUM,
};

/** Creates the first frame of a connection. */
export function createHello(
  hello: options.PeerOptions['hello'],
  nowMs: number,
): protocol.Hello {
  return {
    kind: 'hello',
    ...VERSIONS,
    ...hello,
    clockMs: heartbeatState.clockReading(nowMs),
  };
}

/**
 * Returns the hello of the remote end, or null if no version is supported by
 * both ends. Throws ProtocolError if the first frame is not a hello.
 */
export function readHello(frame: protocol.DecodedFrame): protocol.Hello | null {
  if (frame.kind !== 'hello') {
    throw new runtime.ProtocolError(
      `The first frame is "${frame.kind}" where "hello" is required. Check ` +
        'that the remote end is a camphorwharf daemon.',
    );
  }
  return protocol.negotiateVersion(VERSIONS, frame) === null ? null : frame;
}

/** A hello is much shorter than the longest frame. */
const MAXIMUM_HELLO_BYTES = 16 * 1024;

/** Whether an incomplete hello is longer than any valid one. */
export function isTooLong(decoder: protocol.FrameDecoder): boolean {
  return decoder.bufferedBytes > MAXIMUM_HELLO_BYTES;
}
