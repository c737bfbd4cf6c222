import * as transport from '@camphorwharf/transport';

/** Maximum number of bytes of a request body that are buffered for retries. */
export const REPLAY_LIMIT_BYTES = 256 * 1024;

/**
 * A request body that can be sent repeatedly if it fits into the replay buffer.
 * The rest of a longer body is streamed once without buffering, to bound
 * memory.
 */
export class ReplayableBody {
  private readonly buffer = new transport.BodyBuffer(null);
  private limitExceeded = false;
  private readonly source: AsyncIterator<Uint8Array>;
  private ended = false;

  constructor(source: AsyncIterable<Uint8Array>) {
    this.source = source[Symbol.asyncIterator]();
  }

  /** Whether all bytes streamed so far are buffered. */
  get replayable(): boolean {
    return !this.limitExceeded;
  }

  /** Buffers at least `limitBytes` if available and returns the buffer. */
  async readAhead(limitBytes: number): Promise<Uint8Array> {
    while (!this.ended && this.buffer.length < limitBytes) await this.pull();
    return this.buffer.bytesFrom(0);
  }

  /** Streams the entire body; later invocations replay the buffer. */
  async *stream(): AsyncGenerator<Uint8Array> {
    let sentBytes = 0;
    for (;;) {
      if (sentBytes < this.buffer.length) {
        const chunk = this.buffer.bytesFrom(sentBytes);
        sentBytes += chunk.length;
        yield chunk;
      } else if (this.ended) {
        return;
      } else if (this.buffer.length >= REPLAY_LIMIT_BYTES) {
        yield* this.streamUnbuffered();
        return;
      } else {
        await this.pull();
      }
    }
  }

  private async pull(): Promise<void> {
    const next = await this.source.next();
    if (next.done) {
      this.ended = true;
      return;
    }
    this.buffer.append(next.value);
  }

  private async *streamUnbuffered(): AsyncGenerator<Uint8Array> {
    this.limitExceeded = true;
    for (;;) {
      const next = await this.source.next();
      if (next.done) {
        this.ended = true;
        return;
      }
      yield next.value;
    }
  }
}
