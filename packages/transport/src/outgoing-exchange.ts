import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyQueue from './body-queue.js';
import * as bodySender from './body-sender.js';
import * as exchangePort from './exchange-port.js';
import type * as peer from './peer-interfaces.js';

const noop = () => undefined;

/** A call from this end: sends its body and receives its answer. */
export class OutgoingExchange {
  /** Settles at the answer head, a refusal, an abort or the loss. */
  readonly result: Promise<peer.PeerResult>;
  /** Created for a call whose body follows it. */
  private sender: bodySender.BodySender | null = null;
  private resolveResult!: (result: peer.PeerResult) => void;
  private resolveTrailer: (trailer: peer.AnswerTrailer) => void = noop;
  private rejectTrailer: (error: Error) => void = noop;
  private answer: bodyQueue.BodyQueue | null = null;
  private finished = false;
  private readonly onAbort = () => this.abort();

  constructor(
    private readonly port: exchangePort.ExchangePort,
    private readonly id: number,
    private readonly attempt: number,
    private readonly signal: runtime.CancelSignal,
  ) {
    this.result = new Promise(resolve => {
      this.resolveResult = resolve;
    });
    signal.addEventListener('abort', this.onAbort);
  }

  /** Sends the request body; a source that throws cancels the call. */
  async sendBody(source: AsyncIterable<Uint8Array>): Promise<void> {
    const {id, port} = this;
    const sender = new bodySender.BodySender(port.writer);
    this.sender = sender;
    try {
      let sentBytes = 0;
      const totalBytes = await sender.run(source, chunk => {
        sentBytes += chunk.length;
        port.writer.write({
          kind: 'callBody',
          call: id,
          chunk,
          last: false,
          totalBytes: sentBytes,
        });
      });
      if (totalBytes === null || this.finished) return;
      port.writer.write({
        kind: 'callBody',
        call: id,
        chunk: exchangePort.EMPTY_CHUNK,
        last: true,
        totalBytes,
      });
    } catch {
      this.abort();
    }
  }

  onCredit(bytes: number): void {
    this.sender?.grant(bytes);
  }

  /** The `on…` methods return false for a frame that is out of place. */
  onAnswerHead(frame: protocol.AnswerHead): boolean {
    if (this.answer || frame.attempt !== this.attempt) return false;
    const answer = new bodyQueue.BodyQueue({
      declaredBytes: frame.contentLength,
      windowBytes: bodySender.INITIAL_CREDIT_BYTES,
      budget: this.port.budget,
      onConsumed: exchangePort.creditReturner(
        this.port,
        this.id,
        () => !this.finished,
      ),
      onAbandoned: () => this.abort(),
    });
    this.answer = answer;
    const trailer = new Promise<peer.AnswerTrailer>((resolve, reject) => {
      this.resolveTrailer = resolve;
      this.rejectTrailer = reject;
    });
    // The body throws the same error; a caller may read only the body.
    trailer.catch(noop);
    this.resolveResult({
      kind: 'answer',
      status: frame.status,
      headers: frame.headers,
      contentLength: frame.contentLength,
      body: answer,
      trailer,
    });
    return true;
  }

  onWholeAnswer(frame: protocol.WholeAnswer): boolean {
    if (this.answer || frame.attempt !== this.attempt) return false;
    this.finish();
    this.resolveResult({
      kind: 'whole',
      status: frame.status,
      headers: frame.headers,
      body: frame.body,
      ...trailerOf(frame),
    });
    return true;
  }

  onAnswerBody(frame: protocol.AnswerBody): boolean {
    if (!this.answer) return false;
    const error = this.answer.push(frame.chunk);
    if (error) {
      this.cancel();
      this.fail(error);
    }
    return true;
  }

  onAnswerEnd(frame: protocol.AnswerEnd): boolean {
    if (!this.answer) return false;
    const error = this.answer.end(frame.totalBytes);
    if (error) {
      this.fail(error);
      return true;
    }
    this.finish();
    this.resolveTrailer(trailerOf(frame));
    return true;
  }

  onRefusal(frame: protocol.Refusal): boolean {
    // An answer has begun, so the call has run and the refusal is not its.
    if (this.answer) return false;
    this.finish();
    this.resolveResult({
      kind: 'refused',
      reason: frame.reason,
      final: frame.final,
      ...trailerOf(frame),
    });
    return true;
  }

  onUnknownOutcome(frame: protocol.UnknownOutcome): boolean {
    if (this.answer) {
      this.fail(
        new runtime.ProtocolError(
          `The target could not complete the answer (${frame.reason}). ` +
            'Treat the outcome as unknown.',
        ),
      );
      return true;
    }
    this.finish();
    this.resolveResult({
      kind: 'unknown',
      reason: frame.reason,
      ...trailerOf(frame),
    });
    return true;
  }

  /** Ends the call because the connection has ended. */
  fail(error: Error): void {
    if (this.finished) return;
    this.finish();
    this.resolveResult({kind: 'lost', sent: true});
    this.answer?.fail(error);
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
    this.port.writer.write({kind: 'cancel', call: this.id});
  }

  private finish(): void {
    this.finished = true;
    this.signal.removeEventListener('abort', this.onAbort);
    this.sender?.stop();
    this.port.onFinished(this.id);
  }
}

function trailerOf(frame: peer.AnswerTrailer): peer.AnswerTrailer {
  const {unspentRetries, threshold, load, retryAfterMs, byServer} = frame;
  return {
    unspentRetries,
    threshold,
    ...(load === undefined ? {} : {load}),
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    ...(byServer === undefined ? {} : {byServer}),
  };
}
