import type * as http from 'node:http';
import type * as runtime from '@camphorwharf/runtime';
import type * as requestBody from './request-body.js';

/** One request on a connection, from its arrival to the end of its response. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly isFirstOnConnection: boolean;
  /** Aborted when the client disconnects before the response is complete. */
  readonly cancel: runtime.CancelSource;
  /** Memory of the parsed request. */
  readonly requestBytes: number;
  /** Null if the request has no body. */
  body: requestBody.RequestBodyReader | null;
  /** Whether all earlier requests of the connection have been answered. */
  isNext: boolean;
  /** Memory of its response while it has not been sent. */
  responseBytes: number;
  /** Whether the head of its response has been written. */
  isResponding: boolean;
}

interface Waiter {
  readonly exchange: Exchange;
  readonly isReady: (position: number) => boolean;
  readonly resolve: () => void;
}

/**
 * The requests of one connection without a complete response, in the order of
 * their arrival, and what waits for their position.
 */
export class ExchangeQueue {
  private readonly exchanges: Exchange[] = [];
  private waiters: Waiter[] = [];

  get size(): number {
    return this.exchanges.length;
  }

  /** The request that is answered next. */
  get first(): Exchange | undefined {
    return this.exchanges.at(0);
  }

  get last(): Exchange | undefined {
    return this.exchanges.at(-1);
  }

  add(exchange: Exchange): void {
    this.exchanges.push(exchange);
  }

  /** Returns the position that the request had, or -1. */
  remove(exchange: Exchange): number {
    const position = this.exchanges.indexOf(exchange);
    if (position === 0) this.exchanges.shift();
    else if (position > 0) this.exchanges.splice(position, 1);
    return position;
  }

  /** Removes and returns all requests. */
  clear(): readonly Exchange[] {
    return this.exchanges.splice(0);
  }

  /**
   * Resolves when the request has a position for which `isReady` returns true,
   * or is cancelled. Returns null if that is so already.
   */
  untilReady(
    exchange: Exchange,
    isReady: Waiter['isReady'],
  ): Promise<void> | null {
    if (exchange.cancel.aborted) return null;
    if (isReady(this.exchanges.indexOf(exchange))) return null;
    return new Promise(resolve => {
      this.waiters.push({exchange, isReady, resolve});
    });
  }

  /** Lets those waiters continue whose condition is met. */
  wakeWaiters(): void {
    if (this.waiters.length === 0) return;
    const ready = this.waiters.filter(
      ({exchange, isReady}) =>
        exchange.cancel.aborted || isReady(this.exchanges.indexOf(exchange)),
    );
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !ready.includes(waiter));
    for (const {resolve} of ready) resolve();
  }
}
