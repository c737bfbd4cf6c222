import type * as http from 'node:http';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as readPacer from './read-pacer.js';

/** Bodies up to this size are buffered so that they can be sent again. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Reading pauses while a body that is streamed or waits has more bytes. */
const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** Chunks after which other connections are read first. */
const CHUNKS_PER_TURN = 512;

export type RequestBody = Uint8Array | AsyncIterable<Uint8Array> | null;

/** Whether a request announces a body, which may be empty. */
export function hasBody({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Whether the body of a request is sent in chunks. */
export function isChunked({headers}: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}

/** Why a body is not read to its end. */
export type BodyFailure =
  | {readonly kind: 'aborted'}
  /** Bodies in transit use all the memory that the process has for them. */
  | {readonly kind: 'outOfMemory'}
  | {readonly kind: 'tooLong'}
  /** Its chunks are so small that reading them takes too much time. */
  | {readonly kind: 'tinyChunks'};

export type BodyResult =
  {readonly kind: 'body'; readonly body: RequestBody} | BodyFailure;

/** Holds and continues the reading of the connection of a body. */
export interface ReadControl {
  hold(): void;
  release(): void;
}

/**
 * Receives the body of one request, as a buffer or, if it exceeds the buffering
 * limit, as a stream. Listens for data events, because the queue of a readable
 * stream holds an object for each chunk and bounds their payload only.
 */
export class RequestBodyReader {
  private readonly buffer: transport.BodyBuffer;
  /** Memory of a whole body, which is kept until its request has ended. */
  private readonly bodyReservation: transport.MemoryReservation;
  private readonly bytesReadBefore: number;
  private receivedBytes = 0;
  private maximumBytes = Infinity;
  /** Chunks received since reading was last continued by the pacer. */
  private turnChunks = 0;
  private isStarted = false;
  /** Whether `read` has been called. */
  private isRequested = false;
  private isStreaming = false;
  private isPaced = false;
  private isHolding = false;
  private isHoldScheduled = false;
  private end: 'complete' | BodyFailure | null = null;
  private notify: () => void = () => undefined;

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly reading: ReadControl,
    memory: transport.BodyMemory,
    private readonly pacer: readPacer.ReadPacer,
  ) {
    this.buffer = new transport.BodyBuffer(
      memory.open(() => this.fail({kind: 'outOfMemory'})),
    );
    this.bodyReservation = memory.open(null);
    this.bytesReadBefore = request.socket.bytesRead;
  }

  /** Payload that has arrived, without what is discarded. */
  get receivedCount(): number {
    return this.receivedBytes;
  }

  /**
   * Begins to buffer the body, of which 64 KiB may arrive before `read`. A body
   * that nobody reads would be kept by Node.js with an object for each chunk.
   */
  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    const {request} = this;
    request.on('data', (chunk: Buffer) => this.receive(chunk));
    request.on('end', () => this.finish('complete'));
    request.on('error', () => this.fail({kind: 'aborted'}));
    request.on('close', () => this.fail({kind: 'aborted'}));
  }

  /**
   * Resolves when the body is complete, has become a stream, or has failed. A
   * body of more than `maximumBytes` fails.
   */
  async read(maximumBytes: number): Promise<BodyResult> {
    const {request} = this;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    this.isRequested = true;
    this.maximumBytes = maximumBytes;
    this.isStreaming = declaredBytes > MAXIMUM_BUFFERED_BYTES;
    this.start();
    if (this.receivedBytes > maximumBytes) this.fail({kind: 'tooLong'});
    this.updateReading();
    while (!this.isStreaming && this.end === null) await this.untilChanged();
    if (this.end !== null && this.end !== 'complete') return this.end;
    if (this.isStreaming) return {kind: 'body', body: this.stream()};
    const body = this.buffer.take();
    // Succeeds, because at least as much has just been released.
    this.bodyReservation.tryGrow(body.length);
    return {kind: 'body', body};
  }

  /** Frees the memory of the body. Discards what is received from now on. */
  release(): void {
    // A stream that is still being read must not seem complete.
    this.end = {kind: 'aborted'};
    this.discard();
    this.bodyReservation.release();
  }

  private receive(chunk: Buffer): void {
    this.paceReading();
    if (this.end !== null) return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.maximumBytes) {
      this.fail({kind: 'tooLong'});
    } else if (this.hasExcessiveFraming()) {
      this.fail({kind: 'tinyChunks'});
    } else if (!this.buffer.append(chunk)) {
      this.fail({kind: 'outOfMemory'});
    } else if (this.isRequested && !this.isStreaming) {
      if (this.buffer.length <= MAXIMUM_BUFFERED_BYTES) return;
      this.isStreaming = true;
    }
    this.notify();
    this.updateReading();
  }

  /** Lets other connections be read after many chunks of this one. */
  private paceReading(): void {
    if (++this.turnChunks < CHUNKS_PER_TURN || this.isPaced) return;
    this.isPaced = true;
    this.updateReading();
    this.pacer.enqueue(() => {
      this.turnChunks = 0;
      this.isPaced = false;
      this.updateReading();
    });
  }

  private hasExcessiveFraming(): boolean {
    return transport.isFramingExcessive(
      this.receivedBytes,
      this.request.socket.bytesRead - this.bytesReadBefore,
    );
  }

  private fail(failure: BodyFailure): void {
    this.finish(failure);
    if (this.end !== 'complete') this.discard();
  }

  private discard(): void {
    this.buffer.clear();
    this.updateReading();
    this.notify();
  }

  private finish(end: 'complete' | BodyFailure): void {
    this.end ??= end;
    this.notify();
  }

  private async *stream(): AsyncGenerator<Uint8Array, void, void> {
    for (;;) {
      if (this.buffer.length > 0) {
        const chunk = this.buffer.take();
        this.updateReading();
        yield chunk;
      } else if (this.end === 'complete') {
        return;
      } else if (this.end !== null) {
        throw new runtime.ConnectionError(
          `The body of the request ended early (${this.end.kind}). Treat the ` +
            'outcome as unknown.',
        );
      } else {
        await this.untilChanged();
      }
    }
  }

  private untilChanged(): Promise<void> {
    return new Promise(resolve => (this.notify = resolve));
  }

  private get mustHold(): boolean {
    const isBounded = this.isStreaming || !this.isRequested;
    const isFull = isBounded && this.buffer.length > HIGH_WATER_MARK_BYTES;
    return this.isPaced || isFull;
  }

  private updateReading(): void {
    const {mustHold} = this;
    if (mustHold === this.isHolding) return;
    if (!mustHold) {
      this.isHolding = false;
      this.reading.release();
      return;
    }
    if (this.isHoldScheduled) return;
    this.isHoldScheduled = true;
    // With each chunk of a read, the request resumes its socket, so the pause
    // follows after the last one.
    setImmediate(() => this.holdReading());
  }

  private holdReading(): void {
    this.isHoldScheduled = false;
    if (this.isHolding || !this.mustHold) return;
    this.isHolding = true;
    this.reading.hold();
  }
}
