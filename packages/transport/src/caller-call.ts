import type * as http from 'node:http';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as httpHeaders from './http-headers.js';

export interface CallerAnswer {
  readonly status: number;
  /** Headers of the hop are dropped; the length is `contentLength`. */
  readonly headers: protocol.HeaderList;
  /** Null sends the body in chunked coding. */
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

/** A call of a caller or of the local backend server. */
export interface CallerCall {
  readonly method: string;
  /** In origin form: path and query. */
  readonly path: string;
  /** Names and values as sent, in their order of arrival. */
  readonly headers: protocol.HeaderList;
  /** Declared length of the body; null when it is chunked or absent. */
  readonly contentLength: number | null;
  /** Null when the call has no body. Throws when it is cut. */
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Aborted when the caller goes away before the answer has ended. */
  readonly signal: AbortSignal;
  /** False while `respondOutcome` is still possible. */
  readonly headSent: boolean;
  /**
   * Streams an answer with outcome `completed`. The head leaves with the
   * first byte of the body, so a body that fails at once leaves
   * `respondOutcome` possible. A body that fails later, or whose length is
   * not the declared one, resets the connection, so that the caller never
   * sees a complete answer. Rejects with the error of the body, or with
   * ConnectionError when the caller has gone.
   */
  respond(answer: CallerAnswer): Promise<void>;
  /** Sends an outcome with its advice as a JSON body. */
  respondOutcome(
    outcome: CallerOutcome,
    headers?: protocol.HeaderList,
  ): Promise<void>;
}

/** One request on Node.js's HTTP server. */
export class HttpCallerCall implements CallerCall {
  readonly method: string;
  readonly path: string;
  readonly contentLength: number | null;
  readonly body: AsyncIterable<Uint8Array> | null;
  private readonly controller = new AbortController();

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    readonly headers: protocol.HeaderList,
    private readonly closing: () => boolean,
  ) {
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.contentLength = httpHeaders.declaredLength(headers);
    const chunked =
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.body =
      chunked || (this.contentLength ?? 0) > 0
        ? readBody(request, this.contentLength)
        : null;
    response.on('close', () => {
      if (!response.writableFinished) {
        this.controller.abort(
          new runtime.ConnectionError('The caller has gone away.'),
        );
      }
    });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get headSent(): boolean {
    return this.response.headersSent || this.response.destroyed;
  }

  async respond(answer: CallerAnswer): Promise<void> {
    const iterator = answer.body[Symbol.asyncIterator]();
    try {
      await this.stream(answer, iterator);
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
    const text = outcome.kind === 'notRun' ? 'not-run' : 'unknown';
    const body = Buffer.from(
      JSON.stringify({
        outcome: text,
        reason: outcome.reason,
        advice: advice.advice,
      }),
    );
    const flat = this.flatten(headers);
    flat.push(
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      'camphorwharf-outcome',
      text,
      'camphorwharf-reason',
      outcome.reason,
    );
    if (advice.retryAfterSeconds !== null) {
      flat.push('retry-after', String(advice.retryAfterSeconds));
    }
    this.response.writeHead(advice.httpStatus, flat);
    this.response.end(body);
    await this.finished();
  }

  /** Ends the connection without a complete answer. */
  reset(): void {
    const {socket} = this.request;
    // A plain close would end a body that has no declared length and no
    // chunked coding (HTTP/1.0) like a complete one.
    if (!socket.destroyed) socket.resetAndDestroy();
  }

  private async stream(
    answer: CallerAnswer,
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<void> {
    const {response} = this;
    const {contentLength} = answer;
    const flat = this.flatten(answer.headers);
    flat.push('camphorwharf-outcome', 'completed');
    const bodyless =
      this.method === 'HEAD' || answer.status === 204 || answer.status === 304;
    if (contentLength !== null && answer.status !== 204) {
      flat.push('content-length', String(contentLength));
    }
    let sentBytes = 0;
    for (;;) {
      const item = await this.unlessGone(iterator.next());
      if (item.done) break;
      if (item.value.length === 0) continue;
      sentBytes += item.value.length;
      if (bodyless || (contentLength !== null && sentBytes > contentLength)) {
        throw wrongLength(sentBytes, contentLength);
      }
      if (!response.headersSent) response.writeHead(answer.status, flat);
      if (!response.write(item.value)) await this.drained();
    }
    if (!bodyless && contentLength !== null && sentBytes !== contentLength) {
      throw wrongLength(sentBytes, contentLength);
    }
    if (!response.headersSent) response.writeHead(answer.status, flat);
    response.end();
    await this.finished();
  }

  private flatten(headers: protocol.HeaderList): string[] {
    const flat: string[] = [];
    for (const [name, value] of httpHeaders.withoutHopHeaders(headers)) {
      if (name.toLowerCase().startsWith(httpHeaders.OWN_HEADER_PREFIX)) {
        continue;
      }
      flat.push(name, value);
    }
    // The rest of a body that was not read would delay the next request.
    // Without a body, `complete` only turns true after the handler began.
    const unread = this.body !== null && !this.request.complete;
    if (this.closing() || unread) {
      flat.push('connection', 'close');
    }
    return flat;
  }

  private unlessGone<T>(promise: Promise<T>): Promise<T> {
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

  private drained(): Promise<void> {
    return this.unlessGone(
      new Promise(resolve => this.response.once('drain', resolve)),
    );
  }

  private finished(): Promise<void> {
    if (this.response.writableFinished) return Promise.resolve();
    return this.unlessGone(
      new Promise(resolve => this.response.once('finish', resolve)),
    );
  }
}

async function* readBody(
  request: http.IncomingMessage,
  contentLength: number | null,
): AsyncGenerator<Uint8Array, void, void> {
  let bytes = 0;
  try {
    for await (const chunk of request.iterator({destroyOnReturn: false})) {
      bytes += (chunk as Uint8Array).length;
      yield chunk as Uint8Array;
    }
  } catch (cause) {
    throw new runtime.ConnectionError(
      'The caller went away before the end of its body.',
      {cause},
    );
  }
  if (contentLength !== null && bytes !== contentLength) {
    throw wrongLength(bytes, contentLength);
  }
}

function wrongLength(bytes: number, declared: number | null): Error {
  return new runtime.ProtocolError(
    `Body has ${bytes} bytes where ${declared ?? 0} were declared. Treat the ` +
      'outcome as unknown; the other end or the connection cut it.',
  );
}
