import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyQueue from './body-queue.js';
import * as bodySender from './body-sender.js';
import * as exchangePort from './exchange-port.js';
import type * as peer from './peer-interfaces.js';

/** A call of the other end: receives its body and sends its answer. */
export class IncomingExchange implements peer.IncomingCall {
  readonly body: bodyQueue.BodyQueue | null;
  /** Created for an answer that goes in parts. */
  private sender: bodySender.BodySender | null = null;
  readonly cancelSignal = new runtime.CancelSource();
  private controller: AbortController | null = null;
  private state: 'open' | 'finished' | 'cancelled' = 'open';
  private cancelError: Error | null = null;
  private answered = false;

  constructor(
    private readonly port: exchangePort.ExchangePort,
    readonly head: protocol.Call,
    readonly inTime: boolean,
  ) {
    this.body = head.hasBody
      ? new bodyQueue.BodyQueue({
          declaredBytes: head.contentLength,
          windowBytes: bodySender.INITIAL_CREDIT_BYTES,
          budget: port.budget,
          onConsumed: exchangePort.creditReturner(
            port,
            head.call,
            () => this.state === 'open',
          ),
          onAbandoned: () => undefined,
        })
      : null;
  }

  /** Created on first use, because most handlers of short calls need none. */
  get signal(): AbortSignal {
    if (!this.controller) {
      this.controller = new AbortController();
      if (this.cancelError) this.controller.abort(this.cancelError);
    }
    return this.controller.signal;
  }

  /** Whether an outcome was sent or is no longer wanted. */
  get settled(): boolean {
    return this.answered || this.state !== 'open';
  }

  async answer(
    head: {
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
    },
    body: AsyncIterable<Uint8Array>,
    trailer: () => peer.AnswerTrailer,
  ): Promise<void> {
    this.claimOutcome();
    const {call, attempt} = this.head;
    const {writer} = this.port;
    if (this.cancelError) {
      abandon(body);
      throw this.cancelError;
    }
    const sender = new bodySender.BodySender(writer);
    this.sender = sender;
    let totalBytes: number | null;
    try {
      writer.write({
        kind: 'answerHead',
        call,
        attempt,
        status: head.status,
        headers: head.headers,
        contentLength: head.contentLength,
      });
      totalBytes = await sender.run(body, chunk =>
        writer.write({kind: 'answerBody', call, chunk}),
      );
    } catch (error) {
      if (this.state === 'open') {
        writer.write({
          kind: 'unknownOutcome',
          call,
          reason: 'answerTruncated',
          ...trailer(),
        });
        this.finish();
      }
      throw error;
    }
    if (this.cancelError) throw this.cancelError;
    // The sender stops early only when the call was cancelled.
    if (totalBytes === null) throw new Error('The answer was stopped.');
    writer.write({kind: 'answerEnd', call, totalBytes, ...trailer()});
    this.finish();
  }

  answerWhole(
    head: {readonly status: number; readonly headers: protocol.HeaderList},
    body: Uint8Array,
    trailer: peer.AnswerTrailer,
  ): void {
    this.claimOutcome();
    if (this.state !== 'open') return;
    const {call, attempt} = this.head;
    this.port.writer.write({
      kind: 'wholeAnswer',
      call,
      attempt,
      status: head.status,
      headers: head.headers,
      body,
      ...trailer,
    });
    this.finish();
  }

  refuse(
    reason: protocol.RefusalReasonName,
    final: boolean,
    trailer: peer.AnswerTrailer,
  ): void {
    this.claimOutcome();
    if (this.state !== 'open') return;
    this.port.writer.write({
      kind: 'refusal',
      call: this.head.call,
      reason,
      final,
      ...trailer,
    });
    this.finish();
  }

  reportUnknown(
    reason: protocol.UnknownReasonName,
    trailer: peer.AnswerTrailer,
  ): void {
    this.claimOutcome();
    if (this.state !== 'open') return;
    this.port.writer.write({
      kind: 'unknownOutcome',
      call: this.head.call,
      reason,
      ...trailer,
    });
    this.finish();
  }

  /** Returns false for a frame that is out of place. */
  onCallBody(frame: protocol.CallBody): boolean {
    if (!this.body || this.body.ended) return false;
    this.body.push(frame.chunk);
    if (frame.last) this.body.end(frame.totalBytes);
    return true;
  }

  onCredit(bytes: number): void {
    this.sender?.grant(bytes);
  }

  /** Ends the call on `cancel` or the loss of the connection. */
  abort(error: Error): void {
    if (this.state !== 'open') return;
    this.state = 'cancelled';
    this.cancelError = error;
    this.port.onFinished(this.head.call);
    this.sender?.stop();
    this.body?.fail(error);
    this.controller?.abort(error);
    this.cancelSignal.abort();
  }

  private claimOutcome(): void {
    if (this.answered) {
      throw new Error('A call has one outcome; remove the second one.');
    }
    this.answered = true;
  }

  private finish(): void {
    this.state = 'finished';
    this.port.onFinished(this.head.call);
    // The error is only built when needed: errors cost more than the rest of
    // a short call.
    if (this.body && !this.body.ended) {
      this.body.fail(
        new runtime.ConnectionError(
          'The call was answered before the end of its body.',
        ),
      );
    }
  }
}

function abandon(body: AsyncIterable<Uint8Array>): void {
  body[Symbol.asyncIterator]()
    .return?.(undefined)
    .catch(() => undefined);
}
