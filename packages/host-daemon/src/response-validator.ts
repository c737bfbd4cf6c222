import type * as protocol from '@camphorwharf/protocol';
import * as transport from '@camphorwharf/transport';
import type * as httpBinding from './http-binding.js';

/** The backend server at this address is another one than was named. */
const MISDIRECTED_REQUEST = 421;

/**
 * Statuses that promise a caller that its request has not run. Without the
 * backend server's own word for it they would promise too much.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Why an answer of the backend server says nothing about a call. */
export type RejectionCause =
  /** It belongs to another request, or to none that can be told. */
  | 'otherRequest'
  /** It promises that the call has not run and does not prove it. */
  | 'unprovenRefusal'
  /** A success without proof, or in another encoding than was asked for. */
  | 'unproven';

/** What an answer proves about the call that it stands behind. */
export type ValidationResult =
  | {readonly kind: 'complete'}
  /** The backend server has not run the call. */
  | {readonly kind: 'refused'}
  /** The same, since it is another instance than the call names. */
  | {readonly kind: 'misdirected'}
  /** The call may have run. */
  | {readonly kind: 'rejected'; readonly cause: RejectionCause};

export interface BackendResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
}

/** Decides what answers of a backend server prove. */
export class ResponseValidator {
  private readonly requestIdHeader: string;
  private readonly notExecutedHeader: string;
  private readonly signatureHeader: string;

  constructor(binding: httpBinding.CallDialect) {
    this.requestIdHeader = binding.requestIdHeader.toLowerCase();
    this.notExecutedHeader = binding.notRunHeader.toLowerCase();
    this.signatureHeader = binding.proofHeader.toLowerCase();
  }

  /**
   * An answer proves something about a call only with the id of its request:
   * a faulty server may write an earlier one again on a kept connection.
   */
  validate(requestId: string, response: BackendResponse): ValidationResult {
    const {headers, status} = response;
    const read = (name: string) => transport.headerValue(headers, name);
    if ((read(this.requestIdHeader) ?? '') !== requestId) {
      return {kind: 'rejected', cause: 'otherRequest'};
    }
    if (status === MISDIRECTED_REQUEST) return {kind: 'misdirected'};
    if (read(this.notExecutedHeader) !== null) return {kind: 'refused'};
    if (NOT_EXECUTED_STATUSES.has(status)) {
      return {kind: 'rejected', cause: 'unprovenRefusal'};
    }
    const isSuccess = status < 400;
    const isProven =
      read(this.signatureHeader) !== null && read('content-encoding') === null;
    return isSuccess && !isProven
      ? {kind: 'rejected', cause: 'unproven'}
      : {kind: 'complete'};
  }
}
