import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as bodyMemory from './body-memory.js';
import type * as peer from './peer-interfaces.js';

/** Interval at which both ends send heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 250;

/**
 * A connection closes when nothing arrives or is acknowledged for this long.
 */
export const SILENCE_LIMIT_MS = 1_000;

/**
 * Time limit for connecting and, separately, for the hello of the remote end.
 */
export const HANDSHAKE_TIMEOUT_MS = 1_000;

/** Maximum number of calls in flight per connection and direction. */
export const MAXIMUM_CONCURRENT_CALLS = 10_000;

/**
 * Maximum number of control requests in flight per connection and direction.
 */
export const MAXIMUM_CONCURRENT_REQUESTS = 1_024;

/** Options shared by all peer connections of a process. */
export interface PeerOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Describes this process to the remote end. */
  readonly hello: Omit<
    protocol.Hello,
    'kind' | 'versionMinimum' | 'versionMaximum'
  >;
  readonly handler: peer.PeerHandler;
  /** Overrides `HEARTBEAT_INTERVAL_MS`. */
  readonly heartbeatIntervalMs?: number;
  readonly silenceLimitMs?: number;
  /**
   * Interval at which both ends send heartbeats while no calls are in flight,
   * in milliseconds; that of busy connections if absent or shorter.
   */
  readonly idleHeartbeatIntervalMs?: () => number;
  /** Phase offset that spreads the heartbeats of different processes. */
  readonly heartbeatPhaseMs?: number;
  readonly handshakeTimeoutMs?: number;
  /** For connections that have not identified themselves. */
  readonly unidentifiedLog?: runtime.BoundedLog;
  /**
   * Bounds the unread bytes of all bodies of the process; if absent, those of
   * each connection.
   */
  readonly bodyMemory?: bodyMemory.BodyMemory;
}

/** Why a connection ended; counted by reason. */
export const CloseReason = {
  requested: 'requested',
  idle: 'idle',
  remoteClosed: 'remoteClosed',
  socketError: 'socketError',
  silent: 'silent',
  malformed: 'malformed',
  versionMismatch: 'versionMismatch',
  noHello: 'noHello',
  outputFull: 'outputFull',
} as const;
export type CloseReasonName = keyof typeof CloseReason;
