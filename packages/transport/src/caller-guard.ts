import * as runtime from '@camphorwharf/runtime';
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as callerConnection from './caller-connection.js';
import * as parserLimit from './parser-limit.js';
import * as sectionMemory from './section-memory.js';
import * as sectionObserver from './section-observer.js';

const CHECK_INTERVAL_MS = 250;

/**
 * A connection may be closed to free memory if its client has read nothing for
 * this number of checks, one second.
 */
const STALLED_CHECKS = 4;

/** Limits on what the connections of callers cost the process. */
export interface CallerLimits {
  readonly connections: number;
  /** Unanswered requests of one connection. */
  readonly pipelinedRequests: number;
  /** Unanswered requests of all connections; beyond it each may have one. */
  readonly unansweredRequests: number;
  /** Bytes of unread responses of all connections. */
  readonly unreadBytes: number;
  /** Bytes of headers and trailers that callers have begun and not ended. */
  readonly sectionBytes: number;
  /** Time after which a client that reads nothing loses its connection. */
  readonly unreadMs: number;
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  // The busiest targets currently have 1,300 connections.
  connections: 2_000,
  // Clients pipeline some tens of requests at most.
  pipelinedRequests: 128,
  // About 64 MB of parsed requests.
  unansweredRequests: 16_384,
  unreadBytes: 32 * 1024 * 1024,
  sectionBytes: 16 * 1024 * 1024,
  unreadMs: 60_000,
};

export type CloseCause =
  /** Closed without a request, to accept another connection at the limit. */
  | 'unusedAtLimit'
  /** More requests were pipelined than may wait. */
  | 'tooManyRequests'
  /** It held the most while unread responses were at their limit. */
  | 'memoryFull'
  /** It held the most of the headers and trailers that have not been ended. */
  | 'unfinishedSection'
  /** Its client has read nothing for too long. */
  | 'unread';

export interface CallerGuardOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly limits: CallerLimits;
}

/** Bounds what the connections of callers cost the process. */
export class CallerGuard {
  private readonly connections = new Map<
    net.Socket,
    callerConnection.CallerConnection
  >();
  private unansweredRequests = 0;
  private readonly log: runtime.BoundedLog;
  private timer: NodeJS.Timeout | null = null;
  private readonly sections: sectionMemory.SectionMemory;

  constructor(private readonly options: CallerGuardOptions) {
    const {sectionBytes} = options.limits;
    this.sections = new sectionMemory.SectionMemory(sectionBytes);
    this.log = new runtime.BoundedLog(options.logger, options.clock);
  }

  get size(): number {
    return this.connections.size;
  }

  sockets(): Iterable<net.Socket> {
    return this.connections.keys();
  }

  get(socket: net.Socket): callerConnection.CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Whether a new connection is accepted, if need be in place of one that has
   * sent no request.
   */
  makeRoom(): boolean {
    if (this.connections.size < this.options.limits.connections) return true;
    for (const connection of this.connections.values()) {
      if (!connection.isUnused) continue;
      this.connections.delete(connection.socket);
      this.record('unusedAtLimit', connection);
      connection.socket.destroy();
      return true;
    }
    return false;
  }

  add(socket: net.Socket): void {
    const connection = new callerConnection.CallerConnection(socket);
    this.connections.set(socket, connection);
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    socket.once('close', () => {
      this.connections.delete(socket);
      this.unansweredRequests -= connection.end();
      if (this.connections.size > 0 || !this.timer) return;
      clearInterval(this.timer);
      this.timer = null;
    });
  }

  /** Limits the requests of a connection; its HTTP parser has to exist. */
  limitRequests(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    parserLimit.limitParsing(socket, {
      mayParse: () => this.mayParse(connection),
      endParsing: () => connection.closeAfterLast(),
    });
    sectionObserver.observeSections(socket, this.sections, connection, () =>
      this.record('unfinishedSection', connection),
    );
  }

  /** Counts a request until its response has been sent. */
  addRequest(
    connection: callerConnection.CallerConnection,
    response: http.ServerResponse,
    body: callerConnection.BodyProgress,
  ): void {
    connection.add(response, body);
    this.unansweredRequests++;
    response.on('finish', () => {
      const {size} = connection;
      connection.remove(response);
      this.unansweredRequests -= size - connection.size;
    });
  }

  private mayParse(connection: callerConnection.CallerConnection): boolean {
    if (connection.closing) return false;
    const {pipelinedRequests, unansweredRequests} = this.options.limits;
    const maximum =
      this.unansweredRequests < unansweredRequests ? pipelinedRequests : 1;
    if (connection.size < maximum) return true;
    connection.closeAfterLast();
    this.record('tooManyRequests', connection);
    return false;
  }

  private check(): void {
    const {unreadBytes, unreadMs} = this.options.limits;
    let totalBytes = 0;
    let largest: callerConnection.CallerConnection | null = null;
    let largestCost = 0;
    for (const connection of this.connections.values()) {
      const checks = connection.checkProgress();
      const bytes = connection.unsentBytes;
      totalBytes += bytes;
      if (checks * CHECK_INTERVAL_MS >= unreadMs) {
        this.close(connection, 'unread');
      } else if (checks >= STALLED_CHECKS && bytes * checks > largestCost) {
        [largest, largestCost] = [connection, bytes * checks];
      }
    }
    if (largest && totalBytes > unreadBytes) this.close(largest, 'memoryFull');
  }

  private close(
    connection: callerConnection.CallerConnection,
    cause: CloseCause,
  ): void {
    this.record(cause, connection);
    connection.socket.resetAndDestroy();
  }

  private record(
    cause: CloseCause,
    connection: callerConnection.CallerConnection,
  ): void {
    this.options.metrics.count(
      'caller_connections_closed_total',
      'Connections of callers closed to protect this process, by cause.',
      {cause},
    );
    this.log.info('caller-connection-closed', {
      cause,
      address: connection.socket.remoteAddress ?? null,
      unsentBytes: connection.unsentBytes,
    });
  }
}
