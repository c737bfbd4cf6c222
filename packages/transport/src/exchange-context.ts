import type * as bodyMemory from './body-memory.js';
import type * as frameWriter from './frame-writer.js';

/** The parts of a connection that its calls use. */
export interface ExchangeContext {
  readonly writer: frameWriter.FrameWriter;
  readonly memory: bodyMemory.BodyMemory;
  /** Called once, when no further frame of the call is expected. */
  readonly onFinished: (call: number) => void;
}

export const EMPTY_CHUNK = new Uint8Array(0);

/**
 * Credit is returned after this many consumed bytes: a short body needs no
 * `callCredit` frame and a long one needs few.
 */
const CREDIT_UPDATE_BYTES = 64 * 1024;

/** Returns a function that returns credit to the sender for consumed bytes. */
export function createCreditUpdater(
  context: ExchangeContext,
  call: number,
  isOpen: () => boolean,
): (bytes: number) => void {
  let consumedBytes = 0;
  return bytes => {
    consumedBytes += bytes;
    if (consumedBytes < CREDIT_UPDATE_BYTES || !isOpen()) return;
    context.writer.write({kind: 'callCredit', call, bytes: consumedBytes});
    consumedBytes = 0;
  };
}
