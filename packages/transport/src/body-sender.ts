import type * as frameWriter from './frame-writer.js';

/** Body bytes that an end may send before it receives any credit. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;

/** Maximum size of a body chunk in one frame. */
export const MAXIMUM_CHUNK_BYTES = 64 * 1024;

const STOPPED_RESULT: IteratorReturnResult<undefined> = {
  done: true,
  value: undefined,
};

/**
 * Sends one body under credit-based flow control. After `stop` it sends nothing
 * more and closes the source.
 */
export class BodySender {
  private credit = INITIAL_CREDIT_BYTES;
  private stopped = false;
  private onCredit: (() => void) | null = null;
  private onStop: (() => void) | null = null;

  constructor(private readonly writer: frameWriter.FrameWriter) {}

  /** Adds credit granted by the receiver. */
  addCredit(bytes: number): void {
    this.credit += bytes;
    this.onCredit?.();
  }

  stop(): void {
    this.stopped = true;
    this.onCredit?.();
    this.onStop?.();
  }

  /**
   * Passes `source` to `send` in chunks. Resolves with the number of bytes
   * sent, or null when stopped. Rejects when the source throws.
   */
  async run(
    source: AsyncIterable<Uint8Array>,
    send: (chunk: Uint8Array) => void,
  ): Promise<number | null> {
    const iterator = source[Symbol.asyncIterator]();
    let totalBytes = 0;
    for (;;) {
      const item = await this.nextUnlessStopped(iterator);
      if (this.stopped) break;
      if (item.done) return totalBytes;
      const chunk = item.value;
      let offset = 0;
      while (offset < chunk.length) {
        while (this.writer.congested) await this.writer.untilDrained();
        while (this.credit === 0 && !this.stopped) await this.untilCredit();
        if (this.stopped) break;
        const end = Math.min(
          chunk.length,
          offset + Math.min(MAXIMUM_CHUNK_BYTES, this.credit),
        );
        send(
          offset === 0 && end === chunk.length
            ? chunk
            : chunk.subarray(offset, end),
        );
        this.credit -= end - offset;
        totalBytes += end - offset;
        offset = end;
      }
      if (this.stopped) break;
    }
    // Not awaited: a source that never settles must not block the call.
    iterator.return?.(undefined).catch(() => undefined);
    return null;
  }

  private untilCredit(): Promise<void> {
    return new Promise(resolve => {
      this.onCredit = resolve;
    });
  }

  private nextUnlessStopped(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<IteratorResult<Uint8Array>> {
    if (this.stopped) return Promise.resolve(STOPPED_RESULT);
    return new Promise((resolve, reject) => {
      this.onStop = () => resolve(STOPPED_RESULT);
      iterator.next().then(resolve, reject);
    });
  }
}
