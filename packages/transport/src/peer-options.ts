import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as peer from './peer-interfaces.js';

/** Interval of the heartbeats that both ends send. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** A connection on which nothing arrives or is acknowledged is closed. */
export const SILENCE_LIMIT_MS = 1_000;

/** Connecting and the other end's hello must not take longer. */
export const OPENING_LIMIT_MS = 1_000;

/** Calls in flight in one direction of one connection. */
export const MAXIMUM_CALLS = 10_000;

/** Control requests in flight in one direction of one connection. */
export const MAXIMUM_REQUESTS = 1_024;

/** What every peer connection of a process shares. */
export interface PeerOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** What this process tells the other end about itself. */
  readonly hello: Omit<
    protocol.Hello,
    'kind' | 'versionMinimum' | 'versionMaximum'
  >;
  readonly handler: peer.PeerHandler;
  /** Tests shorten or lengthen these; the defaults are the constants. */
  readonly heartbeatIntervalMs?: number;
  readonly silenceLimitMs?: number;
  /** Shifts the heartbeats of this process against those of the others. */
  readonly heartbeatPhaseMs?: number;
  readonly openingLimitMs?: number;
  /** Body bytes that may wait for readers, over all calls of a connection. */
  readonly maximumBufferedBytes?: number;
}

/** Why a connection ended; each has a counter. */
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
