import type * as runtime from '@camphorwharf/runtime';
import * as callerHttpServer from './caller-http-server.js';
import type * as requestBody from './request-body.js';
import type * as responseBuilder from './response-builder.js';

/**
 * Retry delay of a request refused for lack of memory for its body; most bodies
 * in transit have been passed on by then.
 */
const MEMORY_RETRY_AFTER_MS = 1_000;

/** Refuses requests, which have not been forwarded, for their bodies. */
export class BodyRefusals {
  constructor(
    private readonly responses: Pick<
      responseBuilder.ResponseBuilder,
      'logRefusal' | 'outcomes' | 'recordAbandoned' | 'refuse'
    >,
    private readonly metrics: Pick<runtime.Metrics, 'count'>,
  ) {}

  /** Returns null if the client has left. */
  refuse(
    failure: requestBody.BodyFailure,
    requestId: string,
    remainingMs: number,
    arrivedMs: number,
    entering: responseBuilder.RefusalContext,
  ): callerHttpServer.CallerResponse | null {
    this.metrics.count(
      'request_bodies_refused_total',
      'Request bodies that were not read to their end, by cause.',
      {cause: failure.kind},
    );
    switch (failure.kind) {
      case 'aborted':
        this.responses.recordAbandoned({...entering, requestId, arrivedMs});
        return null;
      case 'tooLong':
        return this.refuseTooLong(requestId, arrivedMs, entering);
      case 'tinyChunks':
        this.record('bodyTinyChunks', requestId, arrivedMs, entering);
        return callerHttpServer.adviceResponse(
          400,
          'Send the body in larger chunks.',
        );
      case 'outOfMemory':
        return this.responses.refuse(
          requestId,
          'overloaded',
          remainingMs,
          arrivedMs,
          MEMORY_RETRY_AFTER_MS,
          entering,
        );
    }
  }

  refuseTooLong(
    requestId: string,
    arrivedMs: number,
    entering: responseBuilder.RefusalContext,
  ): callerHttpServer.CallerResponse {
    this.record('bodyTooLong', requestId, arrivedMs, entering);
    return callerHttpServer.adviceResponse(413, 'Send a shorter body.');
  }

  private record(
    reason: 'bodyTooLong' | 'bodyTinyChunks',
    requestId: string,
    arrivedMs: number,
    entering: responseBuilder.RefusalContext,
  ): void {
    const {responses} = this;
    responses.outcomes.noteRefusal(entering, 'entry', reason);
    responses.logRefusal(requestId, reason, arrivedMs, 0, entering, 'entry');
  }
}
