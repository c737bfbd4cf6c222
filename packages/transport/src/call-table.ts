import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as bodyBudget from './body-budget.js';
import type * as frameWriter from './frame-writer.js';
import * as incomingExchange from './incoming-exchange.js';
import * as outgoingExchange from './outgoing-exchange.js';
import type * as peer from './peer-interfaces.js';
import * as options from './peer-options.js';

/** Why a frame was dropped. */
export type DropCause = 'late' | 'duplicate' | 'unknownCall' | 'misrouted';

export interface CallTableOptions {
  readonly writer: frameWriter.FrameWriter;
  readonly budget: bodyBudget.BodyBudget;
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
 * The calls in flight on one connection. The initiator numbers its calls
 * with odd numbers and the other end with even ones, so that a `callCredit`
 * frame names one call. Numbers only increase, so that a repeated `call`
 * frame is recognised however late it comes.
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
  private lastOutgoing: number;
  private lastIncoming: number;
  /** Handlers that run, including those of calls that were cancelled. */
  private running = 0;
  private idleWaiters: Array<() => void> = [];
  private readonly outgoingPort;
  private readonly incomingPort;

  constructor(private readonly options: CallTableOptions) {
    this.lastOutgoing = options.initiator ? -1 : 0;
    this.lastIncoming = options.initiator ? 0 : -1;
    const {budget, writer} = options;
    this.outgoingPort = {
      writer,
      budget,
      onFinished: (call: number) => {
        this.outgoing.delete(call);
        this.notifyIdle();
      },
    };
    this.incomingPort = {
      writer,
      budget,
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
  ): Promise<peer.PeerResult> {
    if (signal.aborted || this.outgoing.size >= options.MAXIMUM_CALLS) {
      return {kind: 'lost', sent: false};
    }
    const id = (this.lastOutgoing += 2);
    // Written first, because a frame that is too large throws.
    this.options.writer.write({kind: 'call', call: id, ...head, permission});
    const exchange = new outgoingExchange.OutgoingExchange(
      this.outgoingPort,
      id,
      head.attempt,
      signal,
    );
    this.outgoing.set(id, exchange);
    if (body) void exchange.sendBody(body);
    return exchange.result;
  }

  /** Accepts a call of the other end. */
  accept(frame: protocol.Call, inTime: boolean): void {
    if (frame.call % 2 !== Math.abs(this.lastIncoming % 2)) {
      this.options.onDropped('unknownCall');
      return;
    }
    if (frame.call <= this.lastIncoming) {
      this.options.onDropped('duplicate');
      return;
    }
    this.lastIncoming = frame.call;
    const exchange = new incomingExchange.IncomingExchange(
      this.incomingPort,
      frame,
      inTime,
    );
    this.incoming.set(frame.call, exchange);
    if (this.running >= options.MAXIMUM_CALLS) {
      exchange.refuse('queueFull', false, unspent(frame));
      return;
    }
    void this.handle(exchange);
  }

  dispatch(frame: CallFrame): void {
    const known = this.deliver(frame);
    if (known === true) return;
    this.options.onDropped(known ?? this.causeOfUnknown(frame.call));
  }

  /** Ends every call because the connection has ended. */
  fail(error: Error): void {
    for (const exchange of [...this.outgoing.values()]) exchange.fail(error);
    for (const exchange of [...this.incoming.values()]) exchange.abort(error);
  }

  /** Returns a drop cause, or null when the call is not in flight. */
  private deliver(frame: CallFrame): true | DropCause | null {
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

  private causeOfUnknown(call: number): DropCause {
    const own = call % 2 === Math.abs(this.lastOutgoing % 2);
    const last = own ? this.lastOutgoing : this.lastIncoming;
    return call <= last ? 'late' : 'unknownCall';
  }

  private async handle(
    exchange: incomingExchange.IncomingExchange,
  ): Promise<void> {
    this.running++;
    try {
      await this.options.onCall(exchange);
    } catch (error) {
      if (!exchange.settled) this.options.onHandlerError(error);
    } finally {
      this.running--;
      if (!exchange.settled) {
        exchange.reportUnknown('backendServerFailed', unspent(exchange.head));
      }
    }
  }

  private notifyIdle(): void {
    if (!this.idle || this.idleWaiters.length === 0) return;
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    for (const waiter of waiters) waiter();
  }
}

function unspent(frame: protocol.Call): peer.AnswerTrailer {
  return {unspentRetries: frame.context.retries, threshold: null};
}
