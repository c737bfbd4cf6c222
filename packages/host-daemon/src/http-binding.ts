import type * as protocol from '@camphorwharf/protocol';

/**
 * Maps call metadata to the HTTP headers that callers and backend servers use.
 * Names are spelled as sent; comparisons ignore case.
 */
export interface HttpBinding {
  /** Identifies one attempt of a client; echoed by backend servers. */
  readonly requestIdHeader: string;
  /** Remaining time in milliseconds. */
  readonly deadlineHeader: string;
  /** Names the only backend server instance that may run the request. */
  readonly instanceHeader: string;
  /** Name of the organisation that owns the request's key. */
  readonly organisationHeader: string;
  /** Service of the host at which the request entered the system. */
  readonly callerServiceHeader: string;
  /** Proves that a response was produced by a backend server. */
  readonly proofHeader: string;
  /** States that the backend server did not run the request. */
  readonly notExecutedHeader: string;
  /** Names the instance that has produced a response. */
  readonly instanceIdHeader: string;
  /** Load of the backend server, in its responses. */
  readonly loadHeader: string;
  /** Remaining cold time of a backend server, in its health responses. */
  readonly coldRemainingHeader: string;
  /** Carries the caller's key. */
  readonly keyHeader: string;
  /** Returns the key, or null if the value is malformed. */
  parseKey(value: string): string | null;
  /** Whether this is the value with which `notExecutedHeader` is sent. */
  isNotExecuted(value: string): boolean;
  /** Returns null if the value is malformed. */
  parseLoad(value: string): protocol.ReportedLoad | null;
  /** Returns milliseconds, or null if the value is malformed. */
  parseColdRemaining(value: string): number | null;
}
