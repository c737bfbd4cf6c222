import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as undici from 'undici';
import type * as bodyBudget from './body-budget.js';
import * as httpHeaders from './http-headers.js';

/** Answers above this size end the exchange; it bounds memory. */
const MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

/** A server that sends more heads before its answer never ends them. */
const MAXIMUM_INTERIM_HEADS = 8;

export interface WholeRequest {
  readonly method: string;
  readonly path: string;
  /** Sent as they are; the caller has removed the headers of the hop. */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  /** Declared length of a streamed body; null sends it in chunked coding. */
  readonly contentLength: number | null;
  /**
   * A connection that was idle for longer is not used, so that a request
   * that cannot be repeated does not meet one that the server has dropped.
   */
  readonly maximumIdleMs: number;
}

/** What is known of a request to the backend server. */
export type WholeResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
    }
  /** Certain: no byte of the request was written. */
  | {readonly kind: 'notSent'; readonly error: Error}
  /** The request may have been delivered. */
  | {readonly kind: 'lost'; readonly error: Error};

export interface RunningExchange {
  readonly result: Promise<WholeResult>;
  /** Closes the connection; the result is `lost` or `notSent`. */
  cancel(): void;
}

/** Collects the answer of one request on one connection. */
export class WholeHandler
  implements undici.Dispatcher.DispatchHandler, RunningExchange
{
  readonly result: Promise<WholeResult>;
  private resolve!: (result: WholeResult) => void;
  private controller: undici.Dispatcher.DispatchController | null = null;
  private status = 0;
  private headers: protocol.HeaderList = [];
  private lengthKnown = false;
  private closes = false;
  private chunks: Uint8Array[] = [];
  private bytes = 0;
  private interimHeads = 0;
  private settled = false;
  private failure: Error | null = null;

  constructor(
    private readonly socketFailed: () => boolean,
    private readonly release: (reusable: boolean) => void,
    private readonly budget: bodyBudget.BodyBudget,
  ) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  start(client: undici.Client, request: WholeRequest): void {
    const headers = request.headers.flatMap(([name, value]) => [name, value]);
    const streamed =
      request.body !== null && !(request.body instanceof Uint8Array);
    if (streamed && request.contentLength !== null) {
      headers.push('content-length', String(request.contentLength));
    }
    try {
      client.dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.path,
          headers,
          // The types of the library lack iterables, its code takes them.
          body: request.body as Uint8Array | null,
        },
        this,
      );
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }

  cancel(): void {
    this.fail(new runtime.ConnectionError('The request was cancelled.'));
  }

  /** Called directly before the first byte is written. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // The library would send a request again after some faults.
    const again = this.controller !== null;
    this.controller = controller;
    if (again) {
      this.fail(
        new runtime.ConnectionError(
          'The connection to the backend server ended during the request.',
        ),
      );
    }
    if (this.failure) controller.abort(this.failure);
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) {
      this.countInterimHead();
      return;
    }
    this.status = status;
    const headers = httpHeaders.pairHeaders(
      controller.rawHeaders as Array<string | Uint8Array>,
    );
    this.lengthKnown =
      status === 204 ||
      status === 304 ||
      httpHeaders.declaredLength(headers) !== null ||
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.closes =
      httpHeaders
        .headerValue(headers, 'connection')
        ?.toLowerCase()
        .includes('close') ?? false;
    this.headers = headers;
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) return;
    if (!this.budget.take(chunk.length)) {
      this.fail(
        new runtime.ConnectionError(
          'Unfinished answers hold all memory that is set aside for them. ' +
            'Send less at once, and check whether a backend server sends ' +
            'without end.',
        ),
      );
      return;
    }
    this.bytes += chunk.length;
    if (this.bytes > MAXIMUM_ANSWER_BYTES) {
      this.fail(
        new runtime.ProtocolError(
          `The answer exceeds ${MAXIMUM_ANSWER_BYTES} bytes. Let the backend ` +
            'server answer in parts.',
        ),
      );
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.settled) return;
    // The library takes a reset for the end of an answer that closes its
    // connection, even where the answer is not complete.
    if (this.socketFailed()) {
      this.fail(
        new runtime.ConnectionError(
          'The connection was reset during an answer of the backend server.',
        ),
      );
      return;
    }
    if (!this.lengthKnown) {
      this.fail(
        new runtime.ProtocolError(
          'The answer has neither a length nor chunked coding, so that a cut ' +
            'one cannot be told from a complete one. Let the backend server ' +
            'declare the length.',
        ),
      );
      return;
    }
    this.settle();
    // One chunk may be a view of a large read buffer.
    const body =
      this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    this.release(!this.closes);
    this.resolve({
      kind: 'answer',
      status: this.status,
      headers: this.headers,
      body,
    });
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    cause: Error,
  ): void {
    this.fail(
      new runtime.ConnectionError(
        `The connection to the backend server failed: ${cause.message}. ` +
          'Check that it runs.',
        {cause},
      ),
    );
  }

  private countInterimHead(): void {
    this.interimHeads++;
    if (this.interimHeads <= MAXIMUM_INTERIM_HEADS) return;
    this.fail(
      new runtime.ProtocolError(
        `More than ${MAXIMUM_INTERIM_HEADS} interim heads came before the ` +
          'answer. Check what listens at the address of the backend server.',
      ),
    );
  }

  /** From here on the answer belongs to its reader. */
  private settle(): void {
    this.settled = true;
    this.budget.give(this.bytes);
  }

  private fail(error: Error): void {
    if (this.settled) return;
    this.settle();
    this.failure = error;
    this.resolve({kind: this.controller ? 'lost' : 'notSent', error});
    this.controller?.abort(error);
    this.release(false);
  }
}
