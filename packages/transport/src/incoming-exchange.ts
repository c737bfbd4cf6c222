import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyQueue from './body-queue.js';
import * as bodySender from './body-sender.js';
import * as exchangePort from './exchange-port.js';
import type * as peer from './peer-interfaces.js';

/** A call of the other end: receives its body and sends its answer. */
export class IncomingExchange implements peer.IncomingCall {
  readonly body: bodyQueue.BodyQueue | null;
  private readonly sender: bodySender.BodySender;
  private controller: AbortController | null = null;
  private endedBy: Error | null = null;
  private cancelled = false;
  private answered = false;

  constructor(
    private readonly port: exchangePort.ExchangePort,
    readonly head: protocol.Call,
    readonly inTime: boolean,
  ) {
    this.sender = new bodySender.BodySender(port.writer);
    this.body = head.hasBody
      ? new bodyQueue.BodyQueue({
          declaredBytes: head.contentLength,
          windowBytes: bodySender.INITIAL_CREDIT_BYTES,
          onConsumed: exchangePort.creditReturner(
            port,
            head.call,
            () => !this.endedBy,
          ),
          onAbandoned: () => undefined,
        })
      : null;
  }

  /** Created on first use, because most handlers of short calls need none. */
  get signal(): AbortSignal {
    if (!this.controller) {
      this.controller = new AbortController();
      if (this.cancelled) this.controller.abort(this.endedBy);
    }
    return this.controller.signal;
  }

  /** Whether an outcome was sent or is no longer wanted. */
  get settled(): boolean {
    return this.answered || this.endedBy !== null;
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
    if (this.endedBy) {
      abandon(body);
      throw this.endedBy;
    }
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
      totalBytes = await this.sender.run(body, chunk =>
        writer.write({kind: 'answerBody', call, chunk}),
      );
    } catch (error) {
      if (!this.endedBy) {
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
    if (totalBytes === null || this.endedBy) {
      throw (
        this.endedBy ??
        new runtime.ConnectionError('The answer was stopped before its end.')
      );
    }
    writer.write({kind: 'answerEnd', call, totalBytes, ...trailer()});
    this.finish();
  }

  refuse(
    reason: protocol.RefusalReasonName,
    final: boolean,
    trailer: peer.AnswerTrailer,
  ): void {
    this.claimOutcome();
    if (this.endedBy) return;
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
    if (this.endedBy) return;
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
    this.sender.grant(bytes);
  }

  /** Ends the call on `cancel` or the loss of the connection. */
  abort(error: Error): void {
    if (this.endedBy) return;
    this.endedBy = error;
    this.cancelled = true;
    this.port.onFinished(this.head.call);
    this.sender.stop();
    this.body?.fail(error);
    this.controller?.abort(error);
  }

  private claimOutcome(): void {
    if (this.answered) {
      throw new Error('A call has one outcome; remove the second one.');
    }
    this.answered = true;
  }

  private finish(): void {
    this.endedBy = new runtime.ConnectionError('The call has been answered.');
    this.port.onFinished(this.head.call);
    this.body?.fail(this.endedBy);
  }
}

function abandon(body: AsyncIterable<Uint8Array>): void {
  body[Symbol.asyncIterator]()
    .return?.(undefined)
    .catch(() => undefined);
}
