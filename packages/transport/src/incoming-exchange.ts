import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyQueue from './body-queue.js';
import * as bodySender from './body-sender.js';
import * as exchangeContext from './exchange-context.js';
import type * as peer from './peer-interfaces.js';

/** A call from the remote end: receives the request and sends the response. */
export class IncomingExchange implements peer.IncomingCall {
  readonly body: bodyQueue.BodyQueue | null;
  /** Created when the response is streamed. */
  private sender: bodySender.BodySender | null = null;
  readonly cancelSignal = new runtime.CancelSource();
  private controller: AbortController | null = null;
  private state: 'open' | 'finished' | 'cancelled' = 'open';
  private cancelError: Error | null = null;
  private outcomeChosen = false;

  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    readonly head: protocol.Call,
    readonly permissionValid: boolean,
    readonly acceptedMs: number,
  ) {
    this.body = head.hasBody
      ? new bodyQueue.BodyQueue({
          declaredBytes: head.contentLength,
          windowBytes: bodySender.INITIAL_CREDIT_BYTES,
          memory: context.memory,
          onConsumed: exchangeContext.createCreditUpdater(
            context,
            head.call,
            () => this.state === 'open',
          ),
          onAbandoned: () => undefined,
        })
      : null;
  }

  /**
   * Created on first use, because the handlers of most short calls need none.
   */
  get signal(): AbortSignal {
    if (!this.controller) {
      this.controller = new AbortController();
      if (this.cancelError) this.controller.abort(this.cancelError);
    }
    return this.controller.signal;
  }

  /** Whether an outcome was chosen or is no longer needed. */
  get settled(): boolean {
    return this.outcomeChosen || this.state !== 'open';
  }

  async respond(
    head: {
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
    },
    body: AsyncIterable<Uint8Array>,
    trailer: () => peer.ResponseTrailer,
  ): Promise<void> {
    this.markOutcomeChosen();
    const {call, attempt} = this.head;
    const {writer} = this.context;
    if (this.cancelError) {
      cancelBody(body);
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
    // The sender stops early only when the call is cancelled.
    if (totalBytes === null) throw new Error('The response was cancelled.');
    writer.write({kind: 'answerEnd', call, totalBytes, ...trailer()});
    this.finish();
  }

  respondWhole(
    head: {readonly status: number; readonly headers: protocol.HeaderList},
    body: Uint8Array,
    trailer: peer.ResponseTrailer,
  ): void {
    this.markOutcomeChosen();
    if (this.state !== 'open') return;
    const {call, attempt} = this.head;
    this.context.writer.write({
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
    trailer: peer.ResponseTrailer,
  ): void {
    this.markOutcomeChosen();
    if (this.state !== 'open') return;
    this.context.writer.write({
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
    trailer: peer.ResponseTrailer,
  ): void {
    this.markOutcomeChosen();
    if (this.state !== 'open') return;
    this.context.writer.write({
      kind: 'unknownOutcome',
      call: this.head.call,
      reason,
      ...trailer,
    });
    this.finish();
  }

  /** Returns false when the frame is unexpected in the current state. */
  onCallBody(frame: protocol.CallBody): boolean {
    if (!this.body || this.body.ended) return false;
    this.body.push(frame.chunk);
    if (frame.last) this.body.end(frame.totalBytes);
    return true;
  }

  onCredit(bytes: number): void {
    this.sender?.addCredit(bytes);
  }

  /** Ends the call on a `cancel` frame or the end of the connection. */
  abort(error: Error): void {
    if (this.state !== 'open') return;
    this.state = 'cancelled';
    this.cancelError = error;
    this.context.onFinished(this.head.call);
    this.sender?.stop();
    this.body?.fail(error);
    this.controller?.abort(error);
    this.cancelSignal.abort();
  }

  private markOutcomeChosen(): void {
    if (this.outcomeChosen) {
      throw new Error('A call has only one outcome. Remove the second one.');
    }
    this.outcomeChosen = true;
  }

  private finish(): void {
    this.state = 'finished';
    this.context.onFinished(this.head.call);
    // Created only when needed: creating an error costs more than the rest of
    // a short call.
    if (this.body && !this.body.ended) {
      this.body.fail(
        new runtime.ConnectionError(
          'The call was answered before its body had been received.',
        ),
      );
    }
  }
}

function cancelBody(body: AsyncIterable<Uint8Array>): void {
  body[Symbol.asyncIterator]()
    .return?.(undefined)
    .catch(() => undefined);
}
