import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import type * as callerConnection from './caller-connection.js';
import type * as clientLimits from './client-limits.js';
import type * as clientMemory from './client-memory.js';

const CHECK_INTERVAL_MS = 250;

/**
 * A connection may be closed to free memory if its client has read too little
 * for this number of checks, one second.
 */
const SLOW_CHECKS = 4;

/**
 * At the limit, a connection may be replaced that has been idle for this number
 * of checks, one second.
 */
const IDLE_CHECKS = 4;

/** Why a connection of a client is closed or not accepted. */
export type CloseCause =
  /** The limit on connections is reached. */
  | 'connectionLimit'
  /** Closed without a request, to accept another connection at the limit. */
  | 'unusedAtLimit'
  /** Closed between requests, to accept another connection at the limit. */
  | 'idleAtLimit'
  /** More requests were pipelined than may wait. */
  | 'tooManyRequests'
  /** It held the most while the memory for responses was full. */
  | 'memoryFull'
  /** It had the most unanswered requests of the connections that wait. */
  | 'tooManyHeld'
  /** It held the most of the headers and trailers that have not been ended. */
  | 'unfinishedSection'
  /** Its client has read nothing for too long. */
  | 'unread';

export interface ClientGuardOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly limits: clientLimits.ClientLimits;
  readonly memory: clientMemory.ClientMemory;
  readonly connections: Map<net.Socket, callerConnection.CallerConnection>;
}

/** Decides which connections of clients to refuse and to close. */
export class ClientGuard {
  private readonly log: runtime.BoundedLog;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ClientGuardOptions) {
    this.log = new runtime.BoundedLog(options.logger, options.clock);
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Accepts a new connection. At the limit, it replaces one that has sent no
   * request, or else the one that has been idle for longest, for a second at
   * least: a request that its client sends at the same time has not been read,
   * so it can be repeated. Otherwise closes it and returns false.
   */
  accept(socket: net.Socket): boolean {
    const {connections, limits} = this.options;
    if (connections.size < limits.callerConnections) return true;
    const unused = this.findUnused();
    const replaced = unused ?? this.findLongestIdle();
    if (!replaced) {
      this.record('connectionLimit', socket);
      socket.destroy();
      return false;
    }
    this.record(unused ? 'unusedAtLimit' : 'idleAtLimit', replaced);
    // Several connections are accepted before the event `close` of this one.
    connections.delete(replaced);
    replaced.destroy();
    return true;
  }

  /** Counts and logs that a connection closes. */
  record(
    cause: CloseCause,
    socket: net.Socket,
    fields: runtime.LogFields = {},
  ): void {
    this.options.metrics.count(
      'caller_connections_closed_total',
      'Connections of callers refused or closed to protect this process, by cause.',
      {cause},
    );
    const address = socket.remoteAddress ?? null;
    this.log.info('caller-connection-closed', {cause, address, ...fields});
  }

  private findUnused(): net.Socket | null {
    for (const [socket, connection] of this.options.connections) {
      if (connection.isUnused) return socket;
    }
    return null;
  }

  private findLongestIdle(): net.Socket | null {
    let longest: net.Socket | null = null;
    let longestChecks = IDLE_CHECKS - 1;
    for (const [socket, {idleChecks}] of this.options.connections) {
      if (idleChecks > longestChecks) {
        [longest, longestChecks] = [socket, idleChecks];
      }
    }
    return longest;
  }

  private check(): void {
    const {connections, limits, memory} = this.options;
    const isFull = memory.responses.isFull;
    let worst: callerConnection.CallerConnection | null = null;
    let worstCost = 0;
    let heldCount = 0;
    for (const connection of connections.values()) {
      if (connection.isHeld) heldCount++;
      const checks = connection.checkProgress();
      if (checks * CHECK_INTERVAL_MS >= limits.unreadMs) {
        this.close(connection, 'unread');
      } else if (isFull && connection.slowChecks >= SLOW_CHECKS) {
        const cost = connection.heldBytes * connection.slowChecks;
        if (cost > worstCost) [worst, worstCost] = [connection, cost];
      }
    }
    if (worst) this.close(worst, 'memoryFull');
    const excess = heldCount - memory.maximumHeldConnections;
    if (excess > 0) this.closeHeld(excess);
  }

  /**
   * Closes connections that are not read because their clients have sent too
   * many requests ahead: the kernel receives bytes for each of them.
   */
  private closeHeld(count: number): void {
    const held = [...this.options.connections.values()].filter(
      ({isHeld}) => isHeld,
    );
    held.sort((first, second) => second.size - first.size);
    for (const connection of held.slice(0, count)) {
      this.close(connection, 'tooManyHeld');
    }
  }

  private close(
    connection: callerConnection.CallerConnection,
    cause: CloseCause,
  ): void {
    this.record(cause, connection.socket, {heldBytes: connection.heldBytes});
    connection.socket.resetAndDestroy();
  }
}
