import type * as http from 'node:http';
import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as clientMemory from './client-memory.js';
import * as exchangeQueue from './exchange-queue.js';
import * as requestBody from './request-body.js';
import * as unsentResponses from './unsent-responses.js';

/**
 * Maximum number of requests of one connection that are processed at the same
 * time, so that one connection cannot occupy a host. Further ones wait.
 */
const MAXIMUM_CONCURRENT_REQUESTS = 8;

/**
 * Reading pauses while more requests are unanswered, or more than one while the
 * memory for the requests of all connections is full. A disconnect is not
 * noticed while reading is paused.
 */
const MAXIMUM_UNANSWERED_REQUESTS = 32;

export type Exchange = exchangeQueue.Exchange;

/**
 * The requests of one client connection. A client may send further requests
 * before the first one has been answered (pipelining, RFC 9112 section 9.3.2);
 * they are processed concurrently, within a limit, and answered in the order of
 * their arrival.
 */
export class CallerConnection {
  /** Requests without a complete response, in the order of their arrival. */
  private readonly unanswered = new exchangeQueue.ExchangeQueue();
  private requestCount = 0;
  private isClosing = false;
  private hasTooManyRequests = false;
  /** Whether the client has sent more requests than are parsed. */
  private isOverLimit = false;
  private idleCheckCount = 0;
  /** Number of causes for which reading is paused. */
  private holds = 0;
  private readonly unsent: unsentResponses.UnsentResponses;
  /** Null while requests are parsed. */
  private lingering: transport.LingeringClose | null = null;

  constructor(
    readonly socket: net.Socket,
    private readonly memory: clientMemory.ClientMemory,
  ) {
    this.unsent = new unsentResponses.UnsentResponses(socket, memory.responses);
    // The response closes a few event loop iterations after the end of its
    // connection. If the event loop is delayed, the request would be forwarded
    // in the meantime.
    socket.on('end', () => this.cancelAll());
    socket.on('close', () => this.cancelAll());
  }

  /** Number of requests without a complete response. */
  get size(): number {
    return this.unanswered.size;
  }

  /** Memory of the responses that have not been sent. */
  get heldBytes(): number {
    return this.unsent.bytes;
  }

  /** Number of requests that have been processed or are being processed. */
  get messages(): number {
    return this.requestCount;
  }

  /** Payload that has arrived of a chunked body whose end has not arrived. */
  get chunkedBytes(): number | null {
    const {last} = this.unanswered;
    if (!last || !requestBody.isChunked(last.request)) return null;
    // Without a reader, Node.js buffers the first bytes and discards the rest.
    return last.body?.receivedCount ?? last.request.readableLength;
  }

  /** Whether no request has been read yet. */
  get isUnused(): boolean {
    return this.requestCount === 0;
  }

  /** Whether the connection is not read because of its unanswered requests. */
  get isHeld(): boolean {
    return this.size > 0 && (this.hasTooManyRequests || this.isOverLimit);
  }

  /** Whether no request that is read from now on is processed. */
  get closing(): boolean {
    return this.isClosing;
  }

  /**
   * Adds a request that has arrived. Returns null if it must not be processed
   * because the connection closes after an earlier response; the client then
   * treats it as not read.
   */
  add(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestBytes: number,
  ): Exchange | null {
    if (this.isClosing) return null;
    const exchange: Exchange = {
      request,
      response,
      isFirstOnConnection: this.requestCount === 0,
      cancel: new runtime.CancelSource(),
      requestBytes,
      body: null,
      isNext: this.unanswered.size === 0,
      responseBytes: 0,
      isResponding: false,
    };
    this.memory.addRequest(requestBytes);
    this.requestCount++;
    this.unanswered.add(exchange);
    response.on('finish', () => this.complete(exchange));
    this.limitReading();
    return exchange;
  }

  /** Resolves when the request may be processed, or is cancelled. */
  untilStartable(exchange: Exchange): Promise<void> | null {
    return this.unanswered.untilReady(
      exchange,
      position =>
        position < MAXIMUM_CONCURRENT_REQUESTS &&
        this.unsent.mayStart(position),
    );
  }

  /**
   * Whether another request may be parsed, given a limit on the number without a
   * response. If not, reading ends, and the connection closes after the last
   * response, so that the client repeats the requests behind it.
   */
  mayParse(maximumRequests: number): boolean {
    if (this.isClosing) {
      this.stopReading();
      return false;
    }
    const last = this.unanswered.last;
    // Its response no longer tells the client that the connection closes.
    if (!last || last.isResponding) return true;
    const limit = this.memory.requestLimit(
      maximumRequests,
      MAXIMUM_UNANSWERED_REQUESTS,
    );
    if (this.size < limit) return true;
    this.isOverLimit = true;
    this.endReading();
    return false;
  }

  /** Counts the memory of a response until it has been sent. */
  holdResponse(exchange: Exchange, bodyBytes: number): void {
    if (exchange.cancel.aborted) return;
    exchange.responseBytes = this.unsent.add(bodyBytes, exchange.isNext);
  }

  /** Number of checks in a row within which the client has read too little. */
  get slowChecks(): number {
    return this.unsent.slowChecks;
  }

  /** Number of checks in a row for which nothing has been unanswered. */
  get idleChecks(): number {
    return this.size === 0 ? this.idleCheckCount : 0;
  }

  /**
   * Returns the number of checks in a row, including this one, for which the
   * client has read nothing although there is something to read.
   */
  checkProgress(): number {
    this.idleCheckCount = this.size === 0 ? this.idleCheckCount + 1 : 0;
    return this.unsent.checkProgress();
  }

  /**
   * Resolves when all earlier requests have been answered, or the request is
   * cancelled. Returns null if there are none.
   */
  untilFirst(exchange: Exchange): Promise<void> | null {
    return this.unanswered.untilReady(exchange, position => position === 0);
  }

  /** Whether no later request has been read from the connection. */
  isLast(exchange: Exchange): boolean {
    return this.unanswered.last === exchange;
  }

  /**
   * Ignores all requests that are read from now on, and closes the connection
   * once all earlier ones have been answered.
   */
  closeAfterLast(): void {
    this.isClosing = true;
    // Node.js closes the connection itself after `Connection: close`; this
    // covers a last response that has been written without it.
    if (this.size === 0) this.closeSocket();
  }

  /** Handles input behind the last request. Returns false before that. */
  discardInput(): boolean {
    this.lingering?.noteInput();
    return this.isClosing;
  }

  /**
   * Handles input that is not HTTP. Returns whether earlier requests are still
   * to be answered before the connection closes.
   */
  handleMalformedInput(): boolean {
    const last = this.unanswered.last;
    // The malformed input belongs to the body of the last request.
    if (last && !last.request.complete) {
      last.cancel.abort();
      this.remove(last);
    }
    this.endReading();
    return this.size > 0;
  }

  /**
   * Ends reading. The connection closes after the last response, which says so;
   * what the client sends until then is discarded.
   */
  endReading(): void {
    this.isClosing = true;
    this.stopReading();
  }

  /** Writes `text` and closes the connection, on which nothing is unanswered. */
  closeWith(text: string): void {
    this.endReading();
    this.socket.write(text, 'latin1');
    this.closeSocket();
  }

  private complete(exchange: Exchange): void {
    this.remove(exchange);
    if (this.isClosing && this.size === 0) this.closeSocket();
    else this.limitReading();
  }

  /**
   * Pauses reading from the connection until `release` has been called as
   * often. Node.js pauses it for other reasons too, so only changes count.
   */
  hold(): void {
    if (this.holds++ === 0) this.socket.pause();
  }

  release(): void {
    if (--this.holds === 0) this.socket.resume();
  }

  private limitReading(): void {
    const maximum = this.memory.isFullOfRequests
      ? 1
      : MAXIMUM_UNANSWERED_REQUESTS;
    const hasTooMany = this.size > maximum;
    if (hasTooMany === this.hasTooManyRequests) return;
    this.hasTooManyRequests = hasTooMany;
    if (hasTooMany) this.hold();
    else this.release();
  }

  private remove(exchange: Exchange): void {
    const position = this.unanswered.remove(exchange);
    if (position < 0) return;
    this.forget(exchange);
    if (position === 0) this.markNext();
    this.unanswered.wakeWaiters();
  }

  private markNext(): void {
    const next = this.unanswered.first;
    if (!next) return;
    next.isNext = true;
    this.unsent.unblock(next.responseBytes);
  }

  private cancelAll(): void {
    const cancelled = this.unanswered.clear();
    this.isClosing = true;
    for (const exchange of cancelled) {
      exchange.cancel.abort();
      this.forget(exchange);
    }
    this.unanswered.wakeWaiters();
  }

  private forget(exchange: Exchange): void {
    this.memory.removeRequest(exchange.requestBytes);
    if (exchange.responseBytes === 0) return;
    this.unsent.remove(exchange.responseBytes, exchange.isNext);
    exchange.responseBytes = 0;
  }

  private stopReading(): void {
    if (this.lingering) return;
    this.lingering = new transport.LingeringClose(this.socket);
    this.hold();
    // Node.js calls this itself after a response with `Connection: close`.
    this.socket.destroySoon = () => this.closeSocket();
  }

  private closeSocket(): void {
    if (this.lingering) this.lingering.begin();
    else this.socket.destroySoon();
  }
}
