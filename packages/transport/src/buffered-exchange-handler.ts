import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as undici from 'undici';
import * as bodyBuffer from './body-buffer.js';
import * as bodyMemory from './body-memory.js';
import type * as bufferedExchange from './buffered-exchange.js';
import * as framingLimit from './framing-limit.js';
import * as httpHeaders from './http-headers.js';
import * as responseHead from './response-head.js';
import * as responseAdmission from './response-admission.js';
import * as responseMemory from './response-memory.js';
import type * as serverConnection from './server-connection.js';

/** Larger responses fail the exchange, which bounds memory use. */
const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Shorter responses are read without admission. */
const MINIMUM_ADMITTED_BYTES = 64 * 1024;

/** A server that sends more interim (1xx) responses is assumed never to end. */
const MAXIMUM_INTERIM_RESPONSES = 8;

/**
 * Time for which a response whose body may end with the start of another one is
 * held back: the rest of that one may arrive in the next read.
 */
const TRAILING_BYTES_WAIT_MS = 5;

/** Buffers the response to one request on one connection. */
export class BufferedExchangeHandler
  implements
    undici.Dispatcher.DispatchHandler,
    bufferedExchange.BufferedExchange
{
  readonly result: Promise<bufferedExchange.BufferedExchangeResult>;
  private resolve!: (result: bufferedExchange.BufferedExchangeResult) => void;
  private controller: undici.Dispatcher.DispatchController | null = null;
  private status = 0;
  private headers: protocol.HeaderList = [];
  private lengthDelimited = false;
  private connectionClose = false;
  /** Null until the response head has arrived. */
  private body: bodyBuffer.BodyBuffer | null = null;
  /** Value of the socket's counter of received bytes before this response. */
  private bytesReadBefore = 0;
  private interimResponses = 0;
  private settled = false;
  private failure: Error | null = null;
  private readonly admission: responseAdmission.ResponseAdmission;
  private isExpected: bufferedExchange.BufferedExchangeRequest['isExpected'];

  constructor(
    private readonly connection: serverConnection.ServerConnection,
    private readonly releaseConnection: (reusable: boolean) => void,
    private readonly memory: bodyMemory.BodyMemory,
    responses = new responseMemory.ResponseMemory(Infinity),
  ) {
    this.admission = new responseAdmission.ResponseAdmission(responses);
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  start(
    client: undici.Client,
    request: bufferedExchange.BufferedExchangeRequest,
  ): void {
    this.isExpected = request.isExpected;
    const headers = request.headers.flatMap(([name, value]) => [name, value]);
    const hasStreamedBody =
      request.body !== null && !(request.body instanceof Uint8Array);
    if (hasStreamedBody && request.contentLength !== null) {
      headers.push('content-length', String(request.contentLength));
    }
    try {
      client.dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.path,
          headers,
          // undici accepts iterables, but its types do not declare them.
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

  /** Called immediately before the first byte is written. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // undici retries a request after some errors; this must be prevented.
    if (this.controller) {
      const error = new runtime.ConnectionError(
        'The connection to the backend server ended during the request. ' +
          'Check that it runs.',
      );
      this.fail(error);
      controller.abort(error);
      return;
    }
    this.controller = controller;
    if (this.failure) controller.abort(this.failure);
    this.bytesReadBefore = this.connection.socket?.bytesRead ?? 0;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    _parsedHeaders: unknown,
    statusMessage = '',
  ): void {
    if (this.settled) return;
    const headers = httpHeaders.pairRawHeaders(
      controller.rawHeaders as Array<string | Uint8Array>,
    );
    const error = responseHead.findHeadError({statusMessage, headers});
    if (error) {
      this.fail(error);
      return;
    }
    if (status < 200) {
      this.countInterimResponse();
      return;
    }
    this.status = status;
    const declaredBytes = httpHeaders.declaredLength(headers);
    const needsAdmission =
      declaredBytes !== null &&
      declaredBytes >= MINIMUM_ADMITTED_BYTES &&
      declaredBytes <= MAXIMUM_RESPONSE_BYTES;
    this.body = new bodyBuffer.BodyBuffer(
      needsAdmission ? null : this.memory.open(error => this.fail(error)),
      declaredBytes,
    );
    if (needsAdmission) this.admission.admit(controller, declaredBytes);
    this.lengthDelimited =
      status === 204 ||
      status === 304 ||
      declaredBytes !== null ||
      httpHeaders.headerValue(headers, 'transfer-encoding') !== null;
    this.connectionClose =
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
    if (this.settled || !this.body) return;
    if (!this.body.append(chunk)) {
      this.fail(bodyMemory.memoryError());
      return;
    }
    const payloadBytes = this.body.length;
    if (payloadBytes > MAXIMUM_RESPONSE_BYTES) {
      this.fail(
        new runtime.ProtocolError(
          `The response exceeds ${MAXIMUM_RESPONSE_BYTES} bytes. Let the ` +
            'backend server split it into several responses.',
        ),
      );
      return;
    }
    const wireBytes =
      (this.connection.socket?.bytesRead ?? 0) - this.bytesReadBefore;
    if (framingLimit.isFramingExcessive(payloadBytes, wireBytes)) {
      this.fail(
        new runtime.ProtocolError(
          'The response arrives in chunks of a few bytes. Let the backend ' +
            'server send larger chunks.',
        ),
      );
    }
  }

  onResponseEnd(controller: undici.Dispatcher.DispatchController): void {
    if (this.settled || !this.body) return;
    this.connection.noteResponseEnd();
    const error = responseHead.findTrailerError(
      httpHeaders.pairRawHeaders(
        (controller.rawTrailers ?? []) as Array<string | Uint8Array>,
      ),
    );
    if (error) {
      this.fail(error);
      return;
    }
    // For a response with `connection: close`, undici treats a connection reset
    // as the end of the body, even when the response is incomplete.
    if (this.connection.socket?.errored != null) {
      this.fail(
        new runtime.ConnectionError(
          'The backend server reset the connection during its response.',
        ),
      );
      return;
    }
    if (!this.lengthDelimited) {
      this.fail(
        new runtime.ProtocolError(
          'The response has neither a content length nor chunked encoding, so ' +
            'truncation cannot be detected. Let the backend server declare ' +
            'the length.',
        ),
      );
      return;
    }
    this.settled = true;
    const body = this.body.take();
    // Runs after the present read, which may hold bytes behind the response.
    queueMicrotask(() => this.checkEnd(body));
  }

  /**
   * Completes the response unless another one continues it. A parser takes the
   * first bytes of that one for the missing part of a truncated body.
   */
  private checkEnd(body: Uint8Array): void {
    const {hasTrailingBytes} = this.connection;
    switch (responseHead.findContinuation(body, hasTrailingBytes)) {
      case 'none':
        this.complete(body);
        return;
      case 'found':
        this.rejectContinued();
        return;
      case 'possible':
        setTimeout(() => {
          if (this.connection.hasTrailingBytes) this.rejectContinued();
          else this.complete(body);
        }, TRAILING_BYTES_WAIT_MS);
    }
  }

  private rejectContinued(): void {
    const error = new runtime.ProtocolError(
      'The body of the response ends with the start of another response. ' +
        'Check whether the backend server truncates responses.',
    );
    this.releaseConnection(false);
    this.admission.release();
    this.resolve({kind: 'lost', error});
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

  private complete(body: Uint8Array): void {
    const {connection} = this;
    const {hasTrailingBytes} = connection;
    const response: bufferedExchange.BufferedResponse = {
      kind: 'answer',
      status: this.status,
      headers: this.headers,
      body,
      hasTrailingBytes,
      connection: connection.use,
    };
    this.releaseConnection(
      !this.connectionClose &&
        !hasTrailingBytes &&
        connection.isOpen &&
        (this.isExpected?.(response) ?? true),
    );
    this.admission.release();
    this.resolve(response);
  }

  private countInterimResponse(): void {
    this.interimResponses++;
    if (this.interimResponses <= MAXIMUM_INTERIM_RESPONSES) return;
    this.fail(
      new runtime.ProtocolError(
        `More than ${MAXIMUM_INTERIM_RESPONSES} interim responses preceded the ` +
          'final one. Check what listens at the backend server address.',
      ),
    );
  }

  private fail(error: Error): void {
    if (this.settled) return;
    this.settled = true;
    this.body?.clear();
    this.admission.release();
    this.failure = error;
    this.resolve({kind: this.controller ? 'lost' : 'notSent', error});
    this.controller?.abort(error);
    this.releaseConnection(false);
  }
}
