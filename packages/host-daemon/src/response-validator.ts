import type * as protocol from '@camphorwharf/protocol';
import * as transport from '@camphorwharf/transport';
import type * as httpBinding from './http-binding.js';

/**
 * The backend server at this address is not the instance named in the request.
 */
const MISDIRECTED_REQUEST = 421;

/**
 * Status codes that tell a caller that its request has not run. They are passed
 * on only if the backend server confirms this explicitly.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Why a response of the backend server proves nothing about a call. */
export type RejectionCause =
  /** The request id is missing or belongs to another request. */
  | 'otherRequest'
  /** The status claims that the call has not run, without confirmation. */
  | 'unprovenRefusal'
  /**
   * A success without the proof header, or with a content encoding that was not
   * requested.
   */
  | 'unproven';

/** What a response proves about the call it was received for. */
export type ValidationResult =
  | {readonly kind: 'complete'}
  /** The backend server has not run the call. */
  | {readonly kind: 'refused'}
  /** The call has not run because it names another instance. */
  | {readonly kind: 'misdirected'}
  /** The call may have run. */
  | {readonly kind: 'rejected'; readonly cause: RejectionCause};

export interface BackendResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
}

/** Decides what the responses of a backend server prove. */
export class ResponseValidator {
  private readonly requestIdHeader: string;
  private readonly notExecutedHeader: string;
  private readonly proofHeader: string;

  constructor(binding: httpBinding.HttpBinding) {
    this.requestIdHeader = binding.requestIdHeader.toLowerCase();
    this.notExecutedHeader = binding.notExecutedHeader.toLowerCase();
    this.proofHeader = binding.proofHeader.toLowerCase();
  }

  /**
   * A response proves something about a call only if it carries the id of its
   * request: a faulty server may repeat an earlier response on a reused
   * connection.
   */
  validate(requestId: string, response: BackendResponse): ValidationResult {
    const {headers, status} = response;
    const read = (name: string) => transport.headerValue(headers, name);
    if (!this.isFor(requestId, headers)) {
      return {kind: 'rejected', cause: 'otherRequest'};
    }
    if (status === MISDIRECTED_REQUEST) return {kind: 'misdirected'};
    if (read(this.notExecutedHeader) !== null) return {kind: 'refused'};
    if (NOT_EXECUTED_STATUSES.has(status)) {
      return {kind: 'rejected', cause: 'unprovenRefusal'};
    }
    const isSuccess = status < 400;
    const isProven =
      read(this.proofHeader) !== null && read('content-encoding') === null;
    return isSuccess && !isProven
      ? {kind: 'rejected', cause: 'unproven'}
      : {kind: 'complete'};
  }

  /**
   * A response that stops within its head is continued by the next one on the
   * connection, so the head may carry the ids of two requests.
   */
  private isFor(requestId: string, headers: protocol.HeaderList): boolean {
    const ids = headers
      .filter(([name]) => name.toLowerCase() === this.requestIdHeader)
      .map(([, value]) => value);
    if (ids.length === 0) return requestId === '';
    return ids.every(id => id === requestId);
  }
}
