import type * as http from 'node:http';
import type * as net from 'node:net';
import * as lingeringClose from './lingering-close.js';

/**
 * Maximum number of requests of one connection that are processed at the same
 * time, so that responses behind an unread one hold little. Further ones wait.
 */
const MAXIMUM_CONCURRENT_REQUESTS = 8;

/** Reports how much of the body of a request has arrived. */
export interface BodyProgress {
  /** Null if the body is not chunked or has arrived as a whole. */
  readonly chunkedBytes: number | null;
}

/** The requests of one connection of a caller, in the order of their arrival. */
export class CallerConnection {
  private readonly unanswered: http.ServerResponse[] = [];
  private waiters: Array<{response: http.ServerResponse; start(): void}> = [];
  private requestCount = 0;
  /** Of the last request. */
  private lastBody: BodyProgress | null = null;
  /** Null while requests are read. */
  private lingering: lingeringClose.LingeringClose | null = null;
  /** Bytes passed to the kernel at the last check, and checks since then. */
  private sentBytes = 0;
  private checksWithoutProgress = 0;

  constructor(readonly socket: net.Socket) {}

  /** Number of requests without a complete response. */
  get size(): number {
    return this.unanswered.length;
  }

  /** Number of requests that have been read. */
  get messages(): number {
    return this.requestCount;
  }

  /** Payload that has arrived of a chunked body whose end has not arrived. */
  get chunkedBytes(): number | null {
    return this.lastBody?.chunkedBytes ?? null;
  }

  /** Whether no request has been read yet. */
  get isUnused(): boolean {
    return this.requestCount === 0;
  }

  /** Whether further input is discarded. */
  get closing(): boolean {
    return this.lingering !== null;
  }

  /** Bytes of responses that the client has not read. */
  get unsentBytes(): number {
    let bytes = this.socket.writableLength;
    for (const response of this.unanswered) {
      // The output of the first response is in the socket.
      if (!response.socket) bytes += response.writableLength;
    }
    return bytes;
  }

  add(response: http.ServerResponse, body: BodyProgress): void {
    this.requestCount++;
    this.lastBody = body;
    this.unanswered.push(response);
  }

  /** Called when a response has been passed to the kernel. */
  remove(response: http.ServerResponse): void {
    const index = this.unanswered.indexOf(response);
    if (index >= 0) this.unanswered.splice(index, 1);
    this.startWaiters();
    if (this.size === 0) this.lingering?.begin();
  }

  /** Resolves when the request may be processed or the connection has ended. */
  untilStartable(response: http.ServerResponse): Promise<void> | null {
    if (this.isStartable(response)) return null;
    return new Promise(start => this.waiters.push({response, start}));
  }

  /**
   * Ends reading. The connection closes after the last response, which says so
   * unless its head has been written.
   */
  closeAfterLast(): void {
    if (this.lingering) return;
    const {socket} = this;
    const lingering = new lingeringClose.LingeringClose(socket);
    this.lingering = lingering;
    // Node.js calls this itself after a response with `connection: close`.
    socket.destroySoon = () => lingering.begin();
    const last = this.unanswered.at(-1);
    if (last && !last.headersSent) last.shouldKeepAlive = false;
    socket.pause();
  }

  /** Writes `text` and closes the connection, on which nothing is unanswered. */
  closeWith(text: string): void {
    this.closeAfterLast();
    this.socket.write(text);
    this.lingering?.begin();
  }

  /** Handles input behind the last request that is read. */
  discardInput(): void {
    if (this.size > 0) this.socket.pause();
    else this.lingering?.noteInput();
  }

  /** Ends the requests without a response. Returns their number. */
  end(): number {
    const ended = this.unanswered.splice(0);
    for (const response of ended) {
      // Node.js emits the event only for the first response.
      if (!response.socket) response.emit('close');
    }
    this.startWaiters();
    return ended.length;
  }

  /**
   * Returns the number of checks in a row, including this one, for which the
   * client has read nothing although there is something to read.
   */
  checkProgress(): number {
    const {bytesWritten, writableLength} = this.socket;
    const sentBytes = bytesWritten - writableLength;
    const isStalled = writableLength > 0 && sentBytes === this.sentBytes;
    this.sentBytes = sentBytes;
    this.checksWithoutProgress = isStalled ? this.checksWithoutProgress + 1 : 0;
    return this.checksWithoutProgress;
  }

  private isStartable(response: http.ServerResponse): boolean {
    return this.unanswered.indexOf(response) < MAXIMUM_CONCURRENT_REQUESTS;
  }

  private startWaiters(): void {
    if (this.waiters.length === 0) return;
    const {waiters} = this;
    this.waiters = [];
    for (const waiter of waiters) {
      if (this.isStartable(waiter.response)) waiter.start();
      else this.waiters.push(waiter);
    }
  }
}
