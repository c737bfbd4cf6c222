import type * as http from 'node:http';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as httpHeaders from './http-headers.js';

export interface CallerResponse {
  readonly status: number;
  /** Hop-by-hop headers are dropped; the length is `contentLength`. */
  readonly headers: protocol.HeaderList;
  /** Null sends the body with chunked encoding. */
  readonly contentLength: number | null;
  readonly body: AsyncIterable<Uint8Array>;
}

/** An outcome other than `completed`. */
export type CallerOutcome =
  | {
      readonly kind: 'notRun';
      readonly reason: protocol.RefusalReasonName;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: protocol.UnknownReasonName;
    };

/** A request from a caller or from the local backend server. */
export interface CallerCall {
  readonly method: string;
  /** Request target in origin form: path and query. */
  readonly path: string;
  /** Names and values as received, in order. */
  readonly headers: protocol.HeaderList;
  /** Declared length of the body; null when chunked or absent. */
  readonly contentLength: number | null;
  /** Null when the call has no body. Throws when the body is truncated. */
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Aborted when the caller disconnects before the end of the response. */
  readonly signal: AbortSignal;
  /**
   * Whether the head was sent or the connection closed, so that
   * `respondOutcome` can no longer be used.
   */
  readonly headersSent: boolean;
  /**
   * Streams a response with the outcome `completed`. The head is sent with the
   * first byte of the body: if the body fails before, `respondOutcome` can
   * still be used. If it fails later, or its length differs from the declared
   * one, the connection is reset, so that the caller never sees a complete
   * response. Rejects with the error of the body, or with ConnectionError when
   * the caller has disconnected.
   */
  respond(reply: CallerResponse): Promise<void>;
  /** Sends an outcome, with advice for the caller, as a JSON body. */
  respondOutcome(
    outcome: CallerOutcome,
    headers?: protocol.HeaderList,
  ): Promise<void>;
}

/** A request on the HTTP server of Node.js. */
export class HttpCallerCall implements CallerCall {
  readonly method: string;
  readonly path: string;
  readonly contentLength: number | null;
  readonly body: AsyncIterable<Uint8Array> | null;
  private readonly controller = new AbortController();
  private readonly isChunked: boolean;
  /** Payload of the body that has been read. */
  private consumedBytes = 0;

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    readonly headers: protocol.HeaderList,
    private readonly isClosing: () => boolean,
  ) {
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.contentLength = httpHeaders.declaredLength(headers);
    this.isChunked =
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.body =
      this.isChunked || (this.contentLength ?? 0) > 0 ? this.readBody() : null;
    response.on('close', () => {
      if (!response.writableFinished) {
        this.controller.abort(
          new runtime.ConnectionError('The caller has disconnected.'),
        );
      }
    });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Payload that has arrived of a chunked body whose end has not arrived. */
  get chunkedBytes(): number | null {
    const {request} = this;
    if (!this.isChunked || request.complete) return null;
    return this.consumedBytes + request.readableLength;
  }

  get headersSent(): boolean {
    return this.response.headersSent || this.response.destroyed;
  }

  async respond(reply: CallerResponse): Promise<void> {
    const iterator = reply.body[Symbol.asyncIterator]();
    try {
      await this.stream(reply, iterator);
    } catch (error) {
      iterator.return?.(undefined).catch(() => undefined);
      if (this.response.headersSent) this.reset();
      throw error;
    }
  }

  async respondOutcome(
    outcome: CallerOutcome,
    headers: protocol.HeaderList = [],
  ): Promise<void> {
    const advice =
      outcome.kind === 'notRun'
        ? protocol.RefusalReason[outcome.reason]
        : protocol.UnknownReason[outcome.reason];
    const outcomeName = outcome.kind === 'notRun' ? 'not-run' : 'unknown';
    const body = Buffer.from(
      JSON.stringify({
        outcome: outcomeName,
        reason: outcome.reason,
        advice: advice.advice,
      }),
    );
    const rawHeaders = this.toRawHeaders(headers);
    rawHeaders.push(
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      'camphorwharf-outcome',
      outcomeName,
      'camphorwharf-reason',
      outcome.reason,
    );
    if (advice.retryAfterSeconds !== null) {
      rawHeaders.push('retry-after', String(advice.retryAfterSeconds));
    }
    this.response.writeHead(advice.httpStatus, rawHeaders);
    this.response.end(body);
    await this.untilFinished();
  }

  /** Resets the connection, so that the caller sees no complete response. */
  reset(): void {
    const {socket} = this.request;
    // A normal close would look like the end of the body when it has neither a
    // declared length nor chunked encoding (HTTP/1.0).
    if (!socket.destroyed) socket.resetAndDestroy();
  }

  private async stream(
    reply: CallerResponse,
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<void> {
    const {response} = this;
    const {contentLength} = reply;
    const headers = this.toRawHeaders(reply.headers);
    headers.push('camphorwharf-outcome', 'completed');
    const bodyForbidden =
      this.method === 'HEAD' || reply.status === 204 || reply.status === 304;
    if (contentLength !== null && reply.status !== 204) {
      headers.push('content-length', String(contentLength));
    }
    let sentBytes = 0;
    for (;;) {
      const item = await this.rejectOnDisconnect(iterator.next());
      if (item.done) break;
      if (item.value.length === 0) continue;
      sentBytes += item.value.length;
      if (
        bodyForbidden ||
        (contentLength !== null && sentBytes > contentLength)
      ) {
        throw bodyLengthError(sentBytes, contentLength);
      }
      if (!response.headersSent) response.writeHead(reply.status, headers);
      if (!response.write(item.value)) await this.untilDrained();
    }
    if (
      !bodyForbidden &&
      contentLength !== null &&
      sentBytes !== contentLength
    ) {
      throw bodyLengthError(sentBytes, contentLength);
    }
    if (!response.headersSent) response.writeHead(reply.status, headers);
    response.end();
    await this.untilFinished();
  }

  private async *readBody(): AsyncGenerator<Uint8Array, void, void> {
    const {request, contentLength} = this;
    try {
      for await (const chunk of request.iterator({destroyOnReturn: false})) {
        this.consumedBytes += (chunk as Uint8Array).length;
        yield chunk as Uint8Array;
      }
    } catch (cause) {
      throw new runtime.ConnectionError(
        'The caller disconnected before the end of its body.',
        {cause},
      );
    }
    if (contentLength !== null && this.consumedBytes !== contentLength) {
      throw bodyLengthError(this.consumedBytes, contentLength);
    }
  }

  private toRawHeaders(headers: protocol.HeaderList): string[] {
    const rawHeaders: string[] = [];
    for (const [name, value] of httpHeaders.removeHopByHopHeaders(headers)) {
      if (name.toLowerCase().startsWith(httpHeaders.PRODUCT_HEADER_PREFIX)) {
        continue;
      }
      rawHeaders.push(name, value);
    }
    // The unread rest of a body would delay the next request. Without a body,
    // `complete` only becomes true after the handler has started.
    const unread = this.body !== null && !this.request.complete;
    if (this.isClosing() || unread) {
      rawHeaders.push('connection', 'close');
    }
    return rawHeaders;
  }

  private rejectOnDisconnect<T>(promise: Promise<T>): Promise<T> {
    const {signal} = this.controller;
    if (signal.aborted) {
      promise.catch(() => undefined);
      return Promise.reject(signal.reason);
    }
    return new Promise((resolve, reject) => {
      const onAbort = () => reject(signal.reason);
      signal.addEventListener('abort', onAbort);
      const release = () => signal.removeEventListener('abort', onAbort);
      promise.then(
        value => (release(), resolve(value)),
        error => (release(), reject(error)),
      );
    });
  }

  private untilDrained(): Promise<void> {
    return this.rejectOnDisconnect(
      new Promise(resolve => this.response.once('drain', resolve)),
    );
  }

  private untilFinished(): Promise<void> {
    if (this.response.writableFinished) return Promise.resolve();
    return this.rejectOnDisconnect(
      new Promise(resolve => this.response.once('finish', resolve)),
    );
  }
}

function bodyLengthError(bytes: number, declared: number | null): Error {
  return new runtime.ProtocolError(
    `Body has ${bytes} bytes where ${declared ?? 0} were declared. Treat the ` +
      'outcome as unknown; the sender or the connection truncated the body.',
  );
}
