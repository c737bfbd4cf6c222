import type * as protocol from '@camphorwharf/protocol';

/**
 * The header names that callers and backend servers use. Names are spelled
 * as they are sent; comparisons ignore case.
 */
export interface CallDialect {
  /** Identifies one attempt of a client; backend servers echo it. */
  readonly requestIdHeader: string;
  /** Remaining time in milliseconds. */
  readonly deadlineHeader: string;
  /** Names the only backend server instance that may run the request. */
  readonly instanceHeader: string;
  /** The name of the organisation whose key came with the request. */
  readonly organisationHeader: string;
  /** The service of the host where the request began. */
  readonly callerServiceHeader: string;
  /** Proves that an answer was made by a backend server. */
  readonly proofHeader: string;
  /** States that a backend server did not run the request. */
  readonly notRunHeader: string;
  readonly loadHeader: string;
  /** Carries the caller's key. */
  readonly keyHeader: string;
  /** Returns the key, or null when the value has another form. */
  parseKey(value: string): string | null;
  /** Returns null when the value has another form. */
  parseLoad(value: string): protocol.ReportedLoad | null;
}
