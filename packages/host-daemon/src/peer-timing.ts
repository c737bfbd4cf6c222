/**
 * Timing of peer heartbeats. They are sent less often than by default, because
 * each one has a cost.
 */
export const PEER_HEARTBEAT_MS = 500;
export const PEER_SILENCE_MS = 1_300;

/**
 * Maximum number of heartbeats that a host sends per second on connections
 * without calls, and the limit of their interval on each connection.
 */
const IDLE_HEARTBEATS_PER_SECOND = 100;
const MAXIMUM_IDLE_HEARTBEAT_MS = 2_000;

/**
 * Interval of heartbeats on a connection without calls, in milliseconds. It
 * bounds their number on a host of a large fleet.
 */
export function idleHeartbeatMs(hosts: number): number {
  const affordableMs = (hosts * 1_000) / IDLE_HEARTBEATS_PER_SECOND;
  return Math.min(
    MAXIMUM_IDLE_HEARTBEAT_MS,
    Math.max(PEER_HEARTBEAT_MS, affordableMs),
  );
}

/** Heartbeat timing of all peer connections of a host. */
export function heartbeatOptions(phaseMs: number, hostCount: () => number) {
  return {
    heartbeatIntervalMs: PEER_HEARTBEAT_MS,
    heartbeatPhaseMs: phaseMs,
    silenceLimitMs: PEER_SILENCE_MS,
    idleHeartbeatIntervalMs: () => idleHeartbeatMs(hostCount()),
  };
}
