import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyQueue from './body-queue.js';
import * as bodySender from './body-sender.js';
import * as exchangeContext from './exchange-context.js';
import type * as peer from './peer-interfaces.js';

const noop = () => undefined;

/** A call from this end: sends the request and receives the response. */
export class OutgoingExchange {
  /** Resolves on the response head, a refusal, an abort or connection loss. */
  readonly result: Promise<peer.PeerResult>;
  /** Created when the call has a body. */
  private sender: bodySender.BodySender | null = null;
  private resolveResult!: (result: peer.PeerResult) => void;
  private resolveTrailer: (trailer: peer.ResponseTrailer) => void = noop;
  private rejectTrailer: (error: Error) => void = noop;
  private responseBody: bodyQueue.BodyQueue | null = null;
  private finished = false;
  private readonly onAbort = () => this.abort();

  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly id: number,
    private readonly attempt: number,
    private readonly signal: runtime.CancelSignal,
    private readonly sentAfterMs?: number,
  ) {
    this.result = new Promise(resolve => {
      this.resolveResult = resolve;
    });
    signal.addEventListener('abort', this.onAbort);
  }

  /** Sends the request body. An error of the source cancels the call. */
  async sendBody(source: AsyncIterable<Uint8Array>): Promise<void> {
    const {id, context} = this;
    const sender = new bodySender.BodySender(context.writer);
    this.sender = sender;
    try {
      let sentBytes = 0;
      const totalBytes = await sender.run(source, chunk => {
        sentBytes += chunk.length;
        context.writer.write({
          kind: 'callBody',
          call: id,
          chunk,
          last: false,
          totalBytes: sentBytes,
        });
      });
      if (totalBytes === null || this.finished) return;
      context.writer.write({
        kind: 'callBody',
        call: id,
        chunk: exchangeContext.EMPTY_CHUNK,
        last: true,
        totalBytes,
      });
    } catch {
      this.abort();
    }
  }

  onCredit(bytes: number): void {
    this.sender?.addCredit(bytes);
  }

  /** This and the other frame handlers return false for an unexpected frame. */
  onAnswerHead(frame: protocol.AnswerHead): boolean {
    if (this.responseBody || frame.attempt !== this.attempt) return false;
    const responseBody = new bodyQueue.BodyQueue({
      declaredBytes: frame.contentLength,
      windowBytes: bodySender.INITIAL_CREDIT_BYTES,
      memory: this.context.memory,
      onConsumed: exchangeContext.createCreditUpdater(
        this.context,
        this.id,
        () => !this.finished,
      ),
      onAbandoned: () => this.abort(),
    });
    this.responseBody = responseBody;
    const trailer = new Promise<peer.ResponseTrailer>((resolve, reject) => {
      this.resolveTrailer = resolve;
      this.rejectTrailer = reject;
    });
    // Not unhandled: the body throws the same error, and a caller may read only
    // the body.
    trailer.catch(noop);
    this.resolveResult({
      kind: 'answer',
      status: frame.status,
      headers: frame.headers,
      contentLength: frame.contentLength,
      body: responseBody,
      trailer,
    });
    return true;
  }

  onWholeAnswer(frame: protocol.WholeAnswer): boolean {
    if (this.responseBody || frame.attempt !== this.attempt) return false;
    this.finish();
    this.resolveResult({
      kind: 'whole',
      status: frame.status,
      headers: frame.headers,
      body: frame.body,
      ...pickTrailer(frame),
    });
    return true;
  }

  onAnswerBody(frame: protocol.AnswerBody): boolean {
    if (!this.responseBody) return false;
    const error = this.responseBody.push(frame.chunk);
    if (error) {
      this.cancel();
      this.fail(error);
    }
    return true;
  }

  onAnswerEnd(frame: protocol.AnswerEnd): boolean {
    if (!this.responseBody) return false;
    const error = this.responseBody.end(frame.totalBytes);
    if (error) {
      this.fail(error);
      return true;
    }
    this.finish();
    this.resolveTrailer(pickTrailer(frame));
    return true;
  }

  onRefusal(frame: protocol.Refusal): boolean {
    // The response has begun, so the call has run and cannot be refused.
    if (this.responseBody) return false;
    this.finish();
    this.resolveResult({
      kind: 'refused',
      reason: frame.reason,
      final: frame.final,
      ...pickTrailer(frame),
    });
    return true;
  }

  onUnknownOutcome(frame: protocol.UnknownOutcome): boolean {
    if (this.responseBody) {
      this.fail(
        new runtime.ProtocolError(
          `The target could not complete the response (${frame.reason}). ` +
            'Treat the outcome as unknown.',
        ),
      );
      return true;
    }
    this.finish();
    this.resolveResult({
      kind: 'unknown',
      reason: frame.reason,
      ...pickTrailer(frame),
    });
    return true;
  }

  /** Fails the call, for example because the connection has ended. */
  fail(error: Error): void {
    if (this.finished) return;
    this.finish();
    const {sentAfterMs} = this;
    this.resolveResult({
      kind: 'lost',
      sent: true,
      ...(sentAfterMs === undefined ? {} : {sentAfterMs}),
    });
    this.responseBody?.fail(error);
    this.rejectTrailer(error);
  }

  private abort(): void {
    if (this.finished) return;
    this.cancel();
    this.fail(
      new runtime.ConnectionError('The call was cancelled by its sender.'),
    );
  }

  private cancel(): void {
    this.context.writer.write({kind: 'cancel', call: this.id});
  }

  private finish(): void {
    this.finished = true;
    this.signal.removeEventListener('abort', this.onAbort);
    this.sender?.stop();
    this.context.onFinished(this.id);
  }
}

function pickTrailer(frame: peer.ResponseTrailer): peer.ResponseTrailer {
  const {unspentRetries, threshold, load, retryAfterMs, byServer} = frame;
  return {
    unspentRetries,
    threshold,
    ...(load === undefined ? {} : {load}),
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    ...(byServer === undefined ? {} : {byServer}),
  };
}
