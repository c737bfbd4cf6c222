/** Bytes of a request body that are kept so that a retry can send it again. */
export const REPLAY_LIMIT_BYTES = 256 * 1024;

/**
 * A request body that can be sent more than once while it fits the replay
 * limit. A longer body streams through once, so memory stays bounded.
 */
export class ReplayableBody {
  private readonly kept: Uint8Array[] = [];
  private keptBytes = 0;
  private overflowed = false;
  private readonly source: AsyncIterator<Uint8Array>;
  private ended = false;

  constructor(source: AsyncIterable<Uint8Array>) {
    this.source = source[Symbol.asyncIterator]();
  }

  /** Whether every byte that was handed out so far can be sent again. */
  get replayable(): boolean {
    return !this.overflowed;
  }

  /** Reads up to `limitBytes` ahead and returns what is buffered. */
  async readAhead(limitBytes: number): Promise<readonly Uint8Array[]> {
    while (!this.ended && this.keptBytes < limitBytes) await this.pull();
    return this.kept;
  }

  /** Streams the whole body; each use after the first replays it. */
  async *open(): AsyncGenerator<Uint8Array> {
    let index = 0;
    for (;;) {
      if (index < this.kept.length) {
        yield this.kept[index++];
      } else if (this.ended) {
        return;
      } else if (this.keptBytes >= REPLAY_LIMIT_BYTES) {
        yield* this.streamRest();
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
    this.kept.push(next.value);
    this.keptBytes += next.value.byteLength;
  }

  private async *streamRest(): AsyncGenerator<Uint8Array> {
    this.overflowed = true;
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
