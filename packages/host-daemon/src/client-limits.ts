/** Limits on what clients and other unknown senders may occupy. */
export interface ClientLimits {
  /** Connections to the port of callers. */
  readonly callerConnections: number;
  /** Requests of one connection that are parsed and have no response yet. */
  readonly pipelinedRequests: number;
  /**
   * Time after which a connection closes whose client has read nothing although
   * there is something to read, in milliseconds. The kernel accepts more only
   * when a part of its send buffer is free, which can hold megabytes, so a slow
   * client is seen to read in steps that are minutes apart.
   */
  readonly unreadMs: number;
  /**
   * Time in which a request has to arrive, from its first byte to the last one
   * of its body and trailers, in milliseconds.
   */
  readonly requestMs: number;
  /** Connections to the status and to the metrics server, each. */
  readonly statusConnections: number;
  /** Connections to the peer port that have not identified themselves. */
  readonly peerHandshakes: number;
}

/** No client within the documented limits reaches these. */
export const DEFAULT_CLIENT_LIMITS: ClientLimits = {
  callerConnections: 2_000,
  pipelinedRequests: 128,
  unreadMs: 300_000,
  requestMs: 300_000,
  statusConnections: 64,
  peerHandshakes: 1_024,
};
