import * as runtime from '@camphorwharf/runtime';
import type * as bodyBudget from './body-budget.js';

/**
 * Chunks up to this size are merged, so that neither their number nor the
 * read buffers that they are views of can outgrow the window.
 */
const SMALL_CHUNK_BYTES = 4_096;

const END: IteratorReturnResult<undefined> = {done: true, value: undefined};

export interface BodyQueueOptions {
  /** Declared length of the whole body; null when not declared. */
  readonly declaredBytes: number | null;
  /** The most bytes that may wait to be read. */
  readonly windowBytes: number;
  /** Shared with other bodies; null for none. */
  readonly budget: bodyBudget.BodyBudget | null;
  /** Called when the reader has taken bytes out of the queue. */
  readonly onConsumed: (bytes: number) => void;
  /** Called when the reader stops before the end. */
  readonly onAbandoned: () => void;
}

interface Waiter {
  readonly resolve: (result: IteratorResult<Uint8Array, undefined>) => void;
  readonly reject: (error: Error) => void;
}

/**
 * A body between the code that receives it and its single reader. It ends
 * only when its length is the declared and the announced one; otherwise
 * reading throws.
 */
export class BodyQueue
  implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array, undefined>
{
  private chunks: Uint8Array[] = [];
  private queuedBytes = 0;
  private totalBytes = 0;
  private state: 'open' | 'ended' | 'failed' = 'open';
  private error: Error | null = null;
  private waiter: Waiter | null = null;

  constructor(private readonly options: BodyQueueOptions) {}

  /** Whether no further chunk is expected. */
  get ended(): boolean {
    return this.state !== 'open';
  }

  /** Adds a chunk; returns the error that ends the body when it may not. */
  push(chunk: Uint8Array): Error | null {
    if (this.state !== 'open' || chunk.length === 0) return null;
    this.totalBytes += chunk.length;
    const {declaredBytes, windowBytes} = this.options;
    if (declaredBytes !== null && this.totalBytes > declaredBytes) {
      return this.fail(lengthError(this.totalBytes, declaredBytes));
    }
    if (this.waiter) {
      const {resolve} = this.waiter;
      this.waiter = null;
      this.options.onConsumed(chunk.length);
      resolve({done: false, value: chunk});
      return null;
    }
    if (this.queuedBytes + chunk.length > windowBytes) {
      return this.fail(
        new runtime.ProtocolError(
          `Body exceeds its window of ${windowBytes} bytes. Send only as ` +
            'much as the receiver has given credit for.',
        ),
      );
    }
    if (this.options.budget && !this.options.budget.take(chunk.length)) {
      return this.fail(
        new runtime.ConnectionError(
          'Too many body bytes wait on this connection. Read the bodies of ' +
            'the other calls or cancel them.',
        ),
      );
    }
    this.queuedBytes += chunk.length;
    this.enqueue(chunk);
    return null;
  }

  /**
   * Ends the body; `announcedBytes` is what the sender says that it sent.
   * Returns the error that reading throws when the length is wrong.
   */
  end(announcedBytes: number): Error | null {
    if (this.state !== 'open') return this.error;
    const {declaredBytes} = this.options;
    if (
      this.totalBytes !== announcedBytes ||
      (declaredBytes !== null && this.totalBytes !== declaredBytes)
    ) {
      return this.fail(
        lengthError(this.totalBytes, declaredBytes ?? announcedBytes),
      );
    }
    this.state = 'ended';
    this.waiter?.resolve(END);
    this.waiter = null;
    return null;
  }

  /** Makes reading throw `error`; queued bytes are dropped. */
  fail(error: Error): Error {
    if (this.state !== 'open') return this.error ?? error;
    this.state = 'failed';
    this.error = error;
    this.dropChunks();
    this.waiter?.reject(error);
    this.waiter = null;
    return error;
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array, undefined> {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    const chunk = this.chunks.shift();
    if (chunk) {
      this.queuedBytes -= chunk.length;
      this.options.budget?.give(chunk.length);
      this.options.onConsumed(chunk.length);
      return Promise.resolve({done: false, value: chunk});
    }
    if (this.state === 'ended') return Promise.resolve(END);
    if (this.error) return Promise.reject(this.error);
    if (this.waiter) {
      return Promise.reject(new Error('A body has one reader.'));
    }
    return new Promise((resolve, reject) => {
      this.waiter = {resolve, reject};
    });
  }

  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    if (this.state === 'open') {
      const {waiter} = this;
      this.waiter = null;
      this.fail(new runtime.ConnectionError('The reader has left the body.'));
      waiter?.resolve(END);
      this.options.onAbandoned();
    }
    this.dropChunks();
    return Promise.resolve(END);
  }

  private dropChunks(): void {
    this.options.budget?.give(this.queuedBytes);
    this.queuedBytes = 0;
    this.chunks = [];
  }

  private enqueue(chunk: Uint8Array): void {
    const last = this.chunks.length - 1;
    if (
      last >= 0 &&
      this.chunks[last].length + chunk.length <= SMALL_CHUNK_BYTES
    ) {
      this.chunks[last] = Buffer.concat([this.chunks[last], chunk]);
    } else if (chunk.length < SMALL_CHUNK_BYTES) {
      this.chunks.push(Buffer.from(chunk));
    } else {
      this.chunks.push(chunk);
    }
  }
}

function lengthError(received: number, expected: number): Error {
  return new runtime.ProtocolError(
    `Body has ${received} bytes where ${expected} were declared. Treat the ` +
      'outcome as unknown; the other end or the connection cut it.',
  );
}
