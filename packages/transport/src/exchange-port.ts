import type * as bodyBudget from './body-budget.js';
import type * as frameWriter from './frame-writer.js';

/** What a call needs of its connection. */
export interface ExchangePort {
  readonly writer: frameWriter.FrameWriter;
  readonly budget: bodyBudget.BodyBudget;
  /** Called once when no further frame of the call is expected. */
  readonly onFinished: (call: number) => void;
}

export const EMPTY_CHUNK = new Uint8Array(0);

/**
 * Credit is returned in steps of this size, so that a body that fits into
 * the initial credit costs no credit frame and a long one costs few.
 */
const CREDIT_STEP_BYTES = 64 * 1024;

/** Returns a function that gives credit back for consumed body bytes. */
export function creditReturner(
  port: ExchangePort,
  call: number,
  isOpen: () => boolean,
): (bytes: number) => void {
  let consumedBytes = 0;
  return bytes => {
    consumedBytes += bytes;
    if (consumedBytes < CREDIT_STEP_BYTES || !isOpen()) return;
    port.writer.write({kind: 'callCredit', call, bytes: consumedBytes});
    consumedBytes = 0;
  };
}
