import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as undici from 'undici';
import type * as backendClient from './backend-client.js';
import * as bodyQueue from './body-queue.js';
import * as httpHeaders from './http-headers.js';

/** Reading from the backend server pauses while more than this waits. */
const PAUSE_BYTES = 64 * 1024;

/** A reason that is no error: an abort without one builds a costly error. */
const ENDED = 'ended';

/** What is known of a request to the backend server. */
export type BackendResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      /** Throws when the answer is cut, late or of unknown length. */
      readonly body: AsyncIterable<Uint8Array>;
    }
  /** Certain: no byte of the request was written. */
  | {readonly kind: 'notSent'; readonly error: Error}
  /** The request may have been delivered. */
  | {readonly kind: 'lost'; readonly error: Error};

/** Sends one request through `dispatcher`. */
export function exchange(
  dispatcher: undici.Dispatcher,
  request: backendClient.BackendRequest,
  clock: runtime.Clock,
): Promise<BackendResult> {
  return new Promise(resolve => {
    const handler = new ExchangeHandler(request, resolve);
    void handler.limit(clock);
    const headers = httpHeaders
      .withoutHopHeaders(request.headers)
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
          // The types of the library lack iterables, its code takes them.
          body: (hasBody ? request.body : null) as null,
        },
        handler,
      );
    } catch (error) {
      handler.fail(asError(error));
    }
  });
}

class ExchangeHandler implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | null = null;
  private body: bodyQueue.BodyQueue | null = null;
  private receivedBytes = 0;
  private waitingBytes = 0;
  private lengthKnown = true;
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
  async limit(clock: runtime.Clock): Promise<void> {
    await clock.delay(this.request.deadlineMs, this.ended.signal);
    if (this.ended.signal.aborted) return;
    this.fail(
      new runtime.TimeoutError(
        `The backend server did not answer within ${this.request.deadlineMs} ` +
          'ms. Allow more time for the call or check its load.',
      ),
    );
  }

  /** Ends the exchange and closes its connection. */
  fail(error: Error): void {
    if (this.ended.signal.aborted) return;
    this.failure = error;
    this.finish();
    if (this.body) this.body.fail(error);
    else if (this.controller) this.resolve({kind: 'lost', error});
    else this.resolve({kind: 'notSent', error});
    this.controller?.abort(error);
  }

  /** Called directly before the first byte is written. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // The library would send a request again after some faults.
    const again = this.controller !== null;
    this.controller = controller;
    if (this.failure) controller.abort(this.failure);
    else if (again) {
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
  ): void {
    if (status < 200 || this.ended.signal.aborted) return;
    const headers = httpHeaders.pairHeaders(
      controller.rawHeaders as Array<string | Uint8Array>,
    );
    const bodyless =
      this.request.method === 'HEAD' || status === 204 || status === 304;
    const contentLength = bodyless ? null : httpHeaders.declaredLength(headers);
    this.lengthKnown =
      bodyless ||
      contentLength !== null ||
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.body = new bodyQueue.BodyQueue({
      declaredBytes: contentLength,
      windowBytes: Infinity,
      budget: null,
      onConsumed: bytes => {
        this.waitingBytes -= bytes;
        if (this.waitingBytes <= PAUSE_BYTES) controller.resume();
      },
      onAbandoned: () =>
        this.fail(new runtime.ConnectionError('The answer is not wanted.')),
    });
    this.resolve({
      kind: 'answer',
      status,
      headers: httpHeaders.withoutHopHeaders(headers),
      contentLength,
      body: this.body,
    });
  }

  onResponseData(
    controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.receivedBytes += chunk.length;
    this.waitingBytes += chunk.length;
    const error = this.body?.push(chunk);
    if (error) this.fail(error);
    else if (this.waitingBytes > PAUSE_BYTES) controller.pause();
  }

  onResponseEnd(): void {
    this.finish();
    if (this.lengthKnown) this.body?.end(this.receivedBytes);
    else {
      this.body?.fail(
        new runtime.ProtocolError(
          'The answer of the backend server has neither a content length nor ' +
            'chunked coding, so a cut one cannot be told from a complete ' +
            'one. Let the backend server declare the length.',
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
    this.ended.abort(ENDED);
    this.request.signal.removeEventListener('abort', this.onAbort);
  }
}

function asError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}
