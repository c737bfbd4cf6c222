import type * as protocol from '@camphorwharf/protocol';
import * as transport from '@camphorwharf/transport';
import type * as httpBinding from './http-binding.js';
import type * as targetCall from './target-call.js';

/**
 * The backend server at this address is not the instance named in the request.
 */
export const MISDIRECTED_REQUEST = 421;

/**
 * Status codes that tell a caller that its request has not run. They are passed
 * on only if the backend server confirms this explicitly.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Status codes with which a backend server refuses a request. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  400,
  ...NOT_EXECUTED_STATUSES,
]);

/** Why a response of the backend server proves nothing about a call. */
export type RejectionCause =
  /** The request id is missing or belongs to another request. */
  | 'otherRequest'
  /** The signs in the response contradict each other. */
  | 'contradictory'
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

/** The call that a response is checked against. */
export type AskedCall = Pick<targetCall.TargetCall, 'requestId' | 'instance'>;

export interface BackendResponse {
  readonly status: number;
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array;
  /** Whether bytes that belong to no request followed the response. */
  readonly hasTrailingBytes: boolean;
}

/** All values of the headers that say something about the call. */
interface Signs {
  readonly requestIds: readonly string[];
  readonly notExecuted: readonly string[];
  readonly proofs: readonly string[];
  readonly instances: readonly string[];
}

/**
 * Decides what the responses of a backend server prove. A server that breaks off
 * a response within its head is not noticed by an HTTP parser, which joins that
 * head with the next one on the connection. Hence a response proves that a call
 * has not run only if all its signs agree; otherwise, the call may have run.
 */
export class ResponseValidator {
  private readonly requestIdHeader: string;
  private readonly notExecutedHeader: string;
  private readonly proofHeader: string;
  private readonly instanceIdHeader: string;

  constructor(private readonly binding: httpBinding.HttpBinding) {
    this.requestIdHeader = binding.requestIdHeader.toLowerCase();
    this.notExecutedHeader = binding.notExecutedHeader.toLowerCase();
    this.proofHeader = binding.proofHeader.toLowerCase();
    this.instanceIdHeader = binding.instanceIdHeader.toLowerCase();
  }

  /**
   * A response proves something about a call only if it carries the id of its
   * request: a faulty server may repeat an earlier response on a reused
   * connection.
   */
  validate(call: AskedCall, response: BackendResponse): ValidationResult {
    const {status, headers} = response;
    const signs = this.readSigns(headers);
    if (!isFor(call.requestId, signs)) return reject('otherRequest');
    if (this.isContradictory(call, response, signs)) {
      return reject('contradictory');
    }
    if (signs.notExecuted.length > 0 || NOT_EXECUTED_STATUSES.has(status)) {
      return judgeRefusal(status, signs);
    }
    const isSuccess = status < 400;
    const isProven =
      signs.proofs.length > 0 &&
      transport.headerValue(headers, 'content-encoding') === null;
    return isSuccess && !isProven ? reject('unproven') : {kind: 'complete'};
  }

  private readSigns(headers: protocol.HeaderList): Signs {
    const requestIds: string[] = [];
    const notExecuted: string[] = [];
    const proofs: string[] = [];
    const instances: string[] = [];
    for (const [name, value] of headers) {
      switch (name.toLowerCase()) {
        case this.requestIdHeader:
          requestIds.push(value);
          break;
        case this.notExecutedHeader:
          notExecuted.push(value);
          break;
        case this.proofHeader:
          proofs.push(value);
          break;
        case this.instanceIdHeader:
          instances.push(value);
          break;
      }
    }
    return {requestIds, notExecuted, proofs, instances};
  }

  private isContradictory(
    call: AskedCall,
    response: BackendResponse,
    signs: Signs,
  ): boolean {
    const {notExecuted, proofs, instances} = signs;
    if (proofs.length > 1 || instances.length > 1) return true;
    if (
      response.headers.some(([, value]) => transport.containsStatusLine(value))
    ) {
      return true;
    }
    const isMisdirected = response.status === MISDIRECTED_REQUEST;
    const namesOther = instances.some(id => id !== call.instance);
    if (instances.length > 0 && namesOther !== isMisdirected) return true;
    const isRefusal =
      notExecuted.length > 0 || (isMisdirected && instances.length > 0);
    return isRefusal && this.isRefusalContradicted(response, signs);
  }

  private isRefusalContradicted(
    response: BackendResponse,
    signs: Signs,
  ): boolean {
    const {requestIds, notExecuted, proofs} = signs;
    return (
      !REFUSAL_STATUSES.has(response.status) ||
      proofs.length > 0 ||
      requestIds.length > 1 ||
      notExecuted.length > 1 ||
      !notExecuted.every(value => this.binding.isNotExecuted(value)) ||
      response.hasTrailingBytes ||
      // The body of a refusal may be continued by the next response as well.
      transport.containsStatusLine(
        Buffer.from(response.body).toString('latin1'),
      )
    );
  }
}

/** Judges a refusal whose signs do not contradict each other. */
function judgeRefusal(status: number, signs: Signs): ValidationResult {
  const {requestIds, notExecuted, instances} = signs;
  const isMisdirected = status === MISDIRECTED_REQUEST;
  const isConfirmed =
    notExecuted.length > 0 || (isMisdirected && instances.length > 0);
  if (!isConfirmed || requestIds.length === 0) return reject('unprovenRefusal');
  return {kind: isMisdirected ? 'misdirected' : 'refused'};
}

/** A head that was continued by another one may carry the ids of two requests. */
function isFor(requestId: string, {requestIds}: Signs): boolean {
  if (requestIds.length === 0) return requestId === '';
  return requestIds.every(id => id === requestId);
}

function reject(cause: RejectionCause): ValidationResult {
  return {kind: 'rejected', cause};
}
