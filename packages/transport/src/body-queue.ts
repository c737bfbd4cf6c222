import * as runtime from '@camphorwharf/runtime';
import * as bodyBuffer from './body-buffer.js';
import * as bodyMemory from './body-memory.js';

const DONE: IteratorReturnResult<undefined> = {done: true, value: undefined};

export interface BodyQueueOptions {
  /** Declared length of the body; null when not declared. */
  readonly declaredBytes: number | null;
  /** Maximum number of unread bytes. */
  readonly windowBytes: number;
  /** Memory shared with other bodies; null for none. */
  readonly memory: bodyMemory.BodyMemory | null;
  /** Called when the reader has consumed bytes. */
  readonly onConsumed: (bytes: number) => void;
  /** Called when the reader stops before the end. */
  readonly onAbandoned: () => void;
}

interface PendingRead {
  readonly resolve: (result: IteratorResult<Uint8Array, undefined>) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Queue between the code that receives a body and its single reader. Reading
 * throws unless the received length equals both the declared length and the
 * length that the sender reports at the end.
 */
export class BodyQueue
  implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array, undefined>
{
  private readonly queue: bodyBuffer.BodyBuffer;
  private totalBytes = 0;
  private state: 'open' | 'ended' | 'failed' = 'open';
  private error: Error | null = null;
  private pendingRead: PendingRead | null = null;

  constructor(private readonly options: BodyQueueOptions) {
    const reservation = options.memory?.open(error => {
      this.fail(error);
      options.onAbandoned();
    });
    this.queue = new bodyBuffer.BodyBuffer(reservation ?? null);
  }

  /** Whether no further chunk is expected. */
  get ended(): boolean {
    return this.state !== 'open';
  }

  /** Adds a chunk. Returns the error that fails the body, or null. */
  push(chunk: Uint8Array): Error | null {
    if (this.state !== 'open' || chunk.length === 0) return null;
    this.totalBytes += chunk.length;
    const {declaredBytes, windowBytes} = this.options;
    if (declaredBytes !== null && this.totalBytes > declaredBytes) {
      return this.fail(bodyLengthError(this.totalBytes, declaredBytes));
    }
    if (this.pendingRead) {
      const {resolve} = this.pendingRead;
      this.pendingRead = null;
      this.options.onConsumed(chunk.length);
      resolve({done: false, value: chunk});
      return null;
    }
    if (this.queue.length + chunk.length > windowBytes) {
      return this.fail(
        new runtime.ProtocolError(
          `Body exceeds its window of ${windowBytes} bytes. Send only as ` +
            'much as the receiver has granted credit for.',
        ),
      );
    }
    if (!this.queue.append(chunk)) return this.fail(bodyMemory.memoryError());
    return null;
  }

  /**
   * Ends the body. `sentBytes` is the length reported by the sender. Returns
   * the error that reading throws when the received length is wrong, or null.
   */
  end(sentBytes: number): Error | null {
    if (this.state !== 'open') return this.error;
    const {declaredBytes} = this.options;
    if (
      this.totalBytes !== sentBytes ||
      (declaredBytes !== null && this.totalBytes !== declaredBytes)
    ) {
      return this.fail(
        bodyLengthError(this.totalBytes, declaredBytes ?? sentBytes),
      );
    }
    this.state = 'ended';
    this.pendingRead?.resolve(DONE);
    this.pendingRead = null;
    return null;
  }

  /** Makes reading throw `error` and discards queued bytes. */
  fail(error: Error): Error {
    if (this.state !== 'open') return this.error ?? error;
    this.state = 'failed';
    this.error = error;
    this.queue.clear();
    this.pendingRead?.reject(error);
    this.pendingRead = null;
    return error;
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array, undefined> {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    if (this.queue.length > 0) {
      const chunk = this.queue.take();
      this.options.onConsumed(chunk.length);
      return Promise.resolve({done: false, value: chunk});
    }
    if (this.state === 'ended') return Promise.resolve(DONE);
    if (this.error) return Promise.reject(this.error);
    if (this.pendingRead) {
      return Promise.reject(new Error('A body has only one reader.'));
    }
    return new Promise((resolve, reject) => {
      this.pendingRead = {resolve, reject};
    });
  }

  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    if (this.state === 'open') {
      const {pendingRead} = this;
      this.pendingRead = null;
      this.fail(new runtime.ConnectionError('The reader abandoned the body.'));
      pendingRead?.resolve(DONE);
      this.options.onAbandoned();
    }
    this.queue.clear();
    return Promise.resolve(DONE);
  }
}

function bodyLengthError(received: number, expected: number): Error {
  return new runtime.ProtocolError(
    `Body has ${received} bytes where ${expected} were declared. Treat the ` +
      'outcome as unknown; the sender or the connection truncated the body.',
  );
}
