import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as undici from 'undici';
import type * as backendClient from './backend-client.js';
import * as bodyQueue from './body-queue.js';
import * as httpHeaders from './http-headers.js';
import * as responseHead from './response-head.js';

/** Reading from the backend server pauses while more bytes are unread. */
const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** A string, because an abort without a reason creates an error, at a cost. */
const ABORT_REASON = 'ended';

/** The result of a request to the backend server. */
export type BackendResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      /** Throws when the response is truncated, late or of unknown length. */
      readonly body: AsyncIterable<Uint8Array>;
    }
  /** No byte of the request was written. */
  | {readonly kind: 'notSent'; readonly error: Error}
  /** The backend server may have received the request. */
  | {readonly kind: 'lost'; readonly error: Error};

/** Sends one request through `dispatcher`. */
export function exchange(
  dispatcher: undici.Dispatcher,
  request: backendClient.BackendRequest,
  clock: runtime.Clock,
): Promise<BackendResult> {
  return new Promise(resolve => {
    const handler = new ExchangeHandler(request, resolve);
    void handler.enforceDeadline(clock);
    const headers = httpHeaders
      .removeHopByHopHeaders(request.headers)
      .flatMap(([name, value]) => [name, value]);
    const hasBody = request.body !== null && request.contentLength !== 0;
    if (hasBody && request.contentLength !== null) {
      headers.push('content-length', String(request.contentLength));
    }
    try {
      dispatcher.dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.path,
          headers,
          // undici accepts iterables, but its types do not declare them.
          body: (hasBody ? request.body : null) as null,
        },
        handler,
      );
    } catch (error) {
      handler.fail(toError(error));
    }
  });
}

class ExchangeHandler implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | null = null;
  private responseBody: bodyQueue.BodyQueue | null = null;
  private receivedBytes = 0;
  private unreadBytes = 0;
  private lengthDelimited = true;
  private failure: Error | null = null;
  private readonly ended = new AbortController();
  private readonly onAbort = () =>
    this.fail(new runtime.ConnectionError('The request was cancelled.'));

  constructor(
    private readonly request: backendClient.BackendRequest,
    private readonly resolve: (result: BackendResult) => void,
  ) {
    if (request.signal.aborted) this.onAbort();
    else request.signal.addEventListener('abort', this.onAbort);
  }

  /** Fails the exchange at its deadline. */
  async enforceDeadline(clock: runtime.Clock): Promise<void> {
    await clock.delay(this.request.deadlineMs, this.ended.signal);
    if (this.ended.signal.aborted) return;
    this.fail(
      new runtime.TimeoutError(
        `The backend server did not respond within ${this.request.deadlineMs} ` +
          'ms. Allow more time for the call or check the load of the server.',
      ),
    );
  }

  /** Ends the exchange and closes its connection. */
  fail(error: Error): void {
    if (this.ended.signal.aborted) return;
    this.failure = error;
    this.finish();
    if (this.responseBody) this.responseBody.fail(error);
    else if (this.controller) this.resolve({kind: 'lost', error});
    else this.resolve({kind: 'notSent', error});
    this.controller?.abort(error);
  }

  /** Called immediately before the first byte is written. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // undici retries a request after some errors; this must be prevented.
    const retried = this.controller !== null;
    this.controller = controller;
    if (this.failure) controller.abort(this.failure);
    else if (retried) {
      this.fail(
        new runtime.ConnectionError(
          'The connection to the backend server ended during the request.',
        ),
      );
      controller.abort(this.failure ?? new Error('repeated'));
    }
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    _parsedHeaders: unknown,
    statusMessage = '',
  ): void {
    if (this.ended.signal.aborted) return;
    const headers = httpHeaders.pairRawHeaders(
      controller.rawHeaders as Array<string | Uint8Array>,
    );
    const error = responseHead.findHeadError({statusMessage, headers});
    if (error) {
      this.fail(error);
      return;
    }
    if (status < 200) return;
    const bodyForbidden =
      this.request.method === 'HEAD' || status === 204 || status === 304;
    const contentLength = bodyForbidden
      ? null
      : httpHeaders.declaredLength(headers);
    this.lengthDelimited =
      bodyForbidden ||
      contentLength !== null ||
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.responseBody = new bodyQueue.BodyQueue({
      declaredBytes: contentLength,
      windowBytes: Infinity,
      memory: null,
      onConsumed: bytes => {
        this.unreadBytes -= bytes;
        if (this.unreadBytes <= HIGH_WATER_MARK_BYTES) controller.resume();
      },
      onAbandoned: () =>
        this.fail(new runtime.ConnectionError('The response was abandoned.')),
    });
    this.resolve({
      kind: 'answer',
      status,
      headers: httpHeaders.removeHopByHopHeaders(headers),
      contentLength,
      body: this.responseBody,
    });
  }

  onResponseData(
    controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.receivedBytes += chunk.length;
    this.unreadBytes += chunk.length;
    const error = this.responseBody?.push(chunk);
    if (error) this.fail(error);
    else if (this.unreadBytes > HIGH_WATER_MARK_BYTES) controller.pause();
  }

  onResponseEnd(controller: undici.Dispatcher.DispatchController): void {
    this.finish();
    const error = responseHead.findTrailerError(
      httpHeaders.pairRawHeaders(
        (controller.rawTrailers ?? []) as Array<string | Uint8Array>,
      ),
    );
    if (error) this.responseBody?.fail(error);
    else if (this.lengthDelimited) this.responseBody?.end(this.receivedBytes);
    else {
      this.responseBody?.fail(
        new runtime.ProtocolError(
          'The response has neither a content length nor chunked encoding, so ' +
            'truncation cannot be detected. Let the backend server declare ' +
            'the length.',
        ),
      );
    }
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

  private finish(): void {
    this.ended.abort(ABORT_REASON);
    this.request.signal.removeEventListener('abort', this.onAbort);
  }
}

function toError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}
