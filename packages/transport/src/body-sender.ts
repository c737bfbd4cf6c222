import type * as frameWriter from './frame-writer.js';

/** Body bytes that either end may send before it receives credit. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;

/** The largest body chunk of one frame. */
export const MAXIMUM_CHUNK_BYTES = 64 * 1024;

const STOPPED: IteratorReturnResult<undefined> = {
  done: true,
  value: undefined,
};

/**
 * Sends one body under credit-based flow control. It stops, and leaves the
 * source, as soon as `stop` is called.
 */
export class BodySender {
  private credit = INITIAL_CREDIT_BYTES;
  private stopped = false;
  private onCredit: (() => void) | null = null;
  private onStop: (() => void) | null = null;

  constructor(private readonly writer: frameWriter.FrameWriter) {}

  /** Adds credit that the receiver has given. */
  grant(bytes: number): void {
    this.credit += bytes;
    this.onCredit?.();
  }

  stop(): void {
    this.stopped = true;
    this.onCredit?.();
    this.onStop?.();
  }

  /**
   * Sends `source` in chunks through `send`. Resolves with the number of
   * bytes sent, or null when stopped; rejects when the source throws.
   */
  async run(
    source: AsyncIterable<Uint8Array>,
    send: (chunk: Uint8Array) => void,
  ): Promise<number | null> {
    const iterator = source[Symbol.asyncIterator]();
    let totalBytes = 0;
    for (;;) {
      const item = await this.nextOrStop(iterator);
      if (this.stopped) break;
      if (item.done) return totalBytes;
      const piece = item.value;
      let offset = 0;
      while (offset < piece.length) {
        while (this.writer.congested) await this.writer.drained();
        while (this.credit === 0 && !this.stopped) await this.untilCredit();
        if (this.stopped) break;
        const end = Math.min(
          piece.length,
          offset + Math.min(MAXIMUM_CHUNK_BYTES, this.credit),
        );
        send(
          offset === 0 && end === piece.length
            ? piece
            : piece.subarray(offset, end),
        );
        this.credit -= end - offset;
        totalBytes += end - offset;
        offset = end;
      }
      if (this.stopped) break;
    }
    // Not awaited: a source that never settles must not hold up the call.
    iterator.return?.(undefined).catch(() => undefined);
    return null;
  }

  private untilCredit(): Promise<void> {
    return new Promise(resolve => {
      this.onCredit = resolve;
    });
  }

  private nextOrStop(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<IteratorResult<Uint8Array>> {
    if (this.stopped) return Promise.resolve(STOPPED);
    return new Promise((resolve, reject) => {
      this.onStop = () => resolve(STOPPED);
      iterator.next().then(resolve, reject);
    });
  }
}
