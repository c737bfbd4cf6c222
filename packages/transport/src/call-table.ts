import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as bodyMemory from './body-memory.js';
import type * as frameWriter from './frame-writer.js';
import * as incomingExchange from './incoming-exchange.js';
import * as outgoingExchange from './outgoing-exchange.js';
import type * as peer from './peer-interfaces.js';
import * as options from './peer-options.js';

/** Why a frame was dropped. */
export type DropCause = 'late' | 'duplicate' | 'unknownCall' | 'misrouted';

export interface CallTableOptions {
  readonly writer: frameWriter.FrameWriter;
  readonly memory: bodyMemory.BodyMemory;
  /** Whether this end opened the connection. */
  readonly initiator: boolean;
  readonly onCall: (call: peer.IncomingCall) => Promise<void>;
  readonly onDropped: (cause: DropCause) => void;
  readonly onHandlerError: (error: unknown) => void;
}

type CallFrame =
  | protocol.CallBody
  | protocol.CallCredit
  | protocol.AnswerHead
  | protocol.WholeAnswer
  | protocol.AnswerBody
  | protocol.AnswerEnd
  | protocol.Refusal
  | protocol.UnknownOutcome
  | protocol.Cancel;

/**
 * Calls in flight on one connection. The initiator uses odd call numbers and
 * the remote end even ones, so that the number in a `callCredit` frame is
 * unambiguous. Numbers only increase, so that a duplicate `call` frame is
 * detected no matter how late it arrives.
 */
export class CallTable {
  private readonly outgoing = new Map<
    number,
    outgoingExchange.OutgoingExchange
  >();
  private readonly incoming = new Map<
    number,
    incomingExchange.IncomingExchange
  >();
  private lastOutgoingId: number;
  private lastIncomingId: number;
  /** Number of running handlers, including those of cancelled calls. */
  private runningHandlers = 0;
  private idleWaiters: Array<() => void> = [];
  private readonly outgoingContext;
  private readonly incomingContext;

  constructor(private readonly options: CallTableOptions) {
    this.lastOutgoingId = options.initiator ? -1 : 0;
    this.lastIncomingId = options.initiator ? 0 : -1;
    const {memory, writer} = options;
    this.outgoingContext = {
      writer,
      memory,
      onFinished: (call: number) => {
        this.outgoing.delete(call);
        this.notifyIdle();
      },
    };
    this.incomingContext = {
      writer,
      memory,
      onFinished: (call: number) => {
        this.incoming.delete(call);
        this.notifyIdle();
      },
    };
  }

  get idle(): boolean {
    return this.outgoing.size === 0 && this.incoming.size === 0;
  }

  untilIdle(): Promise<void> {
    if (this.idle) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }

  /** Sends a call. Throws ProtocolError when its head is too large. */
  async start(
    head: peer.OutgoingCall,
    body: AsyncIterable<Uint8Array> | null,
    permission: protocol.SendPermission,
    signal: runtime.CancelSignal,
    sentAfterMs?: number,
  ): Promise<peer.PeerResult> {
    if (
      signal.aborted ||
      this.outgoing.size >= options.MAXIMUM_CONCURRENT_CALLS
    ) {
      return {kind: 'lost', sent: false};
    }
    const id = (this.lastOutgoingId += 2);
    // Encoded before registering, because encoding too large a frame throws.
    const frame = protocol.encodeFrame({
      kind: 'call',
      call: id,
      ...head,
      permission,
    });
    const exchange = new outgoingExchange.OutgoingExchange(
      this.outgoingContext,
      id,
      head.attempt,
      signal,
      sentAfterMs,
    );
    this.outgoing.set(id, exchange);
    // Written after registering, because a frame beyond the output limit ends
    // the connection and all calls that are in flight.
    this.options.writer.writeEncoded('call', frame);
    if (body && this.outgoing.has(id)) void exchange.sendBody(body);
    return exchange.result;
  }

  /** Accepts a call from the remote end. */
  accept(frame: protocol.Call, permissionValid: boolean, nowMs: number): void {
    if (frame.call % 2 !== Math.abs(this.lastIncomingId % 2)) {
      this.options.onDropped('unknownCall');
      return;
    }
    if (frame.call <= this.lastIncomingId) {
      this.options.onDropped('duplicate');
      return;
    }
    this.lastIncomingId = frame.call;
    const exchange = new incomingExchange.IncomingExchange(
      this.incomingContext,
      frame,
      permissionValid,
      nowMs,
    );
    this.incoming.set(frame.call, exchange);
    if (this.runningHandlers >= options.MAXIMUM_CONCURRENT_CALLS) {
      exchange.refuse('queueFull', false, trailerWithUnspentRetries(frame));
      return;
    }
    void this.runHandler(exchange);
  }

  dispatch(frame: CallFrame): void {
    const deliveryResult = this.deliverFrame(frame);
    if (deliveryResult === true) return;
    this.options.onDropped(
      deliveryResult ?? this.dropCauseOfUnknownCall(frame.call),
    );
  }

  /** Fails all calls because the connection has ended. */
  failAll(error: Error): void {
    for (const exchange of [...this.outgoing.values()]) exchange.fail(error);
    for (const exchange of [...this.incoming.values()]) exchange.abort(error);
  }

  /** Returns a drop cause, or null when the call is not in flight. */
  private deliverFrame(frame: CallFrame): true | DropCause | null {
    switch (frame.kind) {
      case 'callBody': {
        const exchange = this.incoming.get(frame.call);
        if (!exchange) return null;
        return exchange.onCallBody(frame) || 'duplicate';
      }
      case 'cancel': {
        const exchange = this.incoming.get(frame.call);
        if (!exchange) return null;
        exchange.abort(
          new runtime.ConnectionError('The call was cancelled by the peer.'),
        );
        return true;
      }
      case 'callCredit': {
        const exchange =
          this.outgoing.get(frame.call) ?? this.incoming.get(frame.call);
        if (!exchange) return null;
        exchange.onCredit(frame.bytes);
        return true;
      }
      case 'answerHead': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onAnswerHead(frame) || 'misrouted';
      }
      case 'wholeAnswer': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onWholeAnswer(frame) || 'misrouted';
      }
      case 'answerBody': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onAnswerBody(frame) || 'misrouted';
      }
      case 'answerEnd': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onAnswerEnd(frame) || 'misrouted';
      }
      case 'refusal': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onRefusal(frame) || 'misrouted';
      }
      case 'unknownOutcome': {
        const exchange = this.outgoing.get(frame.call);
        if (!exchange) return null;
        return exchange.onUnknownOutcome(frame) || 'misrouted';
      }
    }
  }

  private dropCauseOfUnknownCall(call: number): DropCause {
    const own = call % 2 === Math.abs(this.lastOutgoingId % 2);
    const last = own ? this.lastOutgoingId : this.lastIncomingId;
    return call <= last ? 'late' : 'unknownCall';
  }

  private async runHandler(
    exchange: incomingExchange.IncomingExchange,
  ): Promise<void> {
    this.runningHandlers++;
    try {
      await this.options.onCall(exchange);
    } catch (error) {
      if (!exchange.settled) this.options.onHandlerError(error);
    } finally {
      this.runningHandlers--;
      if (!exchange.settled) {
        exchange.reportUnknown(
          'backendServerFailed',
          trailerWithUnspentRetries(exchange.head),
        );
      }
    }
  }

  private notifyIdle(): void {
    if (!this.idle || this.idleWaiters.length === 0) return;
    const idleWaiters = this.idleWaiters;
    this.idleWaiters = [];
    for (const waiter of idleWaiters) waiter();
  }
}

function trailerWithUnspentRetries(frame: protocol.Call): peer.ResponseTrailer {
  return {unspentRetries: frame.context.retries, threshold: null};
}
