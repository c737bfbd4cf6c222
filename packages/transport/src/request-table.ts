import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as callTable from './call-table.js';
import type * as frameWriter from './frame-writer.js';
import * as options from './peer-options.js';

export interface RequestTableOptions {
  readonly writer: frameWriter.FrameWriter;
  readonly clock: runtime.Clock;
  readonly onRequest: (
    body: protocol.ControlRequest,
  ) => Promise<protocol.ControlReply>;
  readonly onDropped: (cause: callTable.DropCause | 'overLimit') => void;
  readonly onHandlerError: (error: unknown) => void;
}

interface PendingRequest {
  readonly resolve: (reply: protocol.ControlReply) => void;
  readonly reject: (error: Error) => void;
  readonly timer: AbortController;
}

/** Control requests in flight on one connection, in both directions. */
export class RequestTable {
  private readonly pending = new Map<number, PendingRequest>();
  private lastRequestId = 0;
  private runningHandlers = 0;
  private idleWaiters: Array<() => void> = [];

  constructor(private readonly options: RequestTableOptions) {}

  get idle(): boolean {
    return this.pending.size === 0 && this.runningHandlers === 0;
  }

  untilIdle(): Promise<void> {
    if (this.idle) return Promise.resolve();
    return new Promise(resolve => this.idleWaiters.push(resolve));
  }

  /** Throws TimeoutError, or ConnectionError when the connection closes. */
  send(
    body: protocol.ControlRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply> {
    if (this.pending.size >= options.MAXIMUM_CONCURRENT_REQUESTS) {
      return Promise.reject(
        new runtime.ConnectionError(
          'Too many control requests in flight on this connection. Try again ' +
            'when some have completed.',
        ),
      );
    }
    const request = ++this.lastRequestId;
    return new Promise((resolve, reject) => {
      // Written before registering, because encoding too large a frame throws.
      this.options.writer.write({kind: 'request', request, body});
      const timer = new AbortController();
      this.pending.set(request, {resolve, reject, timer});
      void this.enforceTimeout(request, body.kind, timeoutMs, timer.signal);
    });
  }

  onReply(frame: protocol.Reply): void {
    const pending = this.remove(frame.request);
    if (pending) pending.resolve(frame.body);
    else {
      this.options.onDropped(
        frame.request <= this.lastRequestId ? 'late' : 'unknownCall',
      );
    }
  }

  accept(frame: protocol.Request): void {
    if (this.runningHandlers >= options.MAXIMUM_CONCURRENT_REQUESTS) {
      this.options.onDropped('overLimit');
      return;
    }
    void this.handle(frame);
  }

  rejectUnsupported(request: number): void {
    this.options.writer.write({
      kind: 'reply',
      request,
      body: {kind: 'unsupported'},
    });
  }

  failAll(error: Error): void {
    for (const request of [...this.pending.keys()]) {
      this.remove(request)?.reject(error);
    }
  }

  /** When the handler throws, no reply is sent and the request times out. */
  private async handle(frame: protocol.Request): Promise<void> {
    this.runningHandlers++;
    try {
      const body = await this.options.onRequest(frame.body);
      this.options.writer.write({kind: 'reply', request: frame.request, body});
    } catch (error) {
      this.options.onHandlerError(error);
    } finally {
      this.runningHandlers--;
      this.notifyIdle();
    }
  }

  private async enforceTimeout(
    request: number,
    kind: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.options.clock.delay(timeoutMs, signal);
    if (signal.aborted) return;
    this.remove(request)?.reject(
      new runtime.TimeoutError(
        `Control request "${kind}" had no reply within ${timeoutMs} ms. Try ` +
          'again or ask another peer.',
      ),
    );
  }

  private remove(request: number): PendingRequest | undefined {
    const pending = this.pending.get(request);
    if (!pending) return undefined;
    this.pending.delete(request);
    // Aborting without a reason would create an error.
    pending.timer.abort('settled');
    this.notifyIdle();
    return pending;
  }

  private notifyIdle(): void {
    if (!this.idle || this.idleWaiters.length === 0) return;
    const idleWaiters = this.idleWaiters;
    this.idleWaiters = [];
    for (const waiter of idleWaiters) waiter();
  }
}
