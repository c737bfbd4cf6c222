import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as callerMessages from './caller-messages.js';
import type * as enteringRequest from './entering-request.js';
import * as requestPriority from './request-priority.js';
import type * as requestSuccess from './request-success.js';
import type * as responseBuilder from './response-builder.js';
import * as sheddingDecider from './shedding-decider.js';
import type * as stopSchedule from './stop-schedule.js';
import type * as targetCall from './target-call.js';

export interface RequestAdmissionOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly limits: Pick<fleetLimits.FleetRateLimits, 'refund' | 'tryTake'>;
  readonly stopSchedule: stopSchedule.StopSchedule;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: Pick<requestSuccess.RequestSuccess, 'decide' | 'noteEnd'>;
}

/** Ends an admitted request; the result is null if it was not forwarded. */
export type NoteEnd = (result: targetCall.CallResult | null) => void;

/** Where a request goes, or the response that refuses it. */
export type Direction =
  | {
      readonly kind: 'directed';
      readonly request: enteringRequest.DirectedRequest;
    }
  | Refusal;

/** Whether a request is admitted, or the response that refuses it. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly noteEnd: NoteEnd;
    }
  | Refusal;

interface Refusal {
  readonly kind: 'refused';
  readonly response: callerMessages.CallerResponse;
}

/**
 * Decides whether a request is admitted before its body is read: planned stop,
 * destination, load shedding, rate limit and chance of success, in this order.
 */
export class RequestAdmission {
  constructor(
    private readonly options: RequestAdmissionOptions,
    private readonly responses: Pick<responseBuilder.ResponseBuilder, 'refuse'>,
    private readonly shedding: Pick<sheddingDecider.SheddingDecider, 'decide'>,
  ) {}

  /** Finds the service of a request that may begin. */
  direct(
    entering: enteringRequest.EnteringRequest,
    index: Pick<routing.ConfigurationIndex, 'nextService'>,
  ): Direction {
    const {stopSchedule} = this.options;
    const {arrivedMs, organisation, ownDeadlineMs, route} = entering;
    if (!this.mayBegin(entering)) return this.refuseInStop(entering);
    const remainingMs = Math.min(
      ownDeadlineMs - arrivedMs,
      stopSchedule.remainingMs(arrivedMs),
    );
    const service = index.nextService(route);
    if (service === null) {
      return this.refuse(entering, 'noTarget', remainingMs, 0);
    }
    const priority = requestPriority.requestPriority(organisation, route);
    return {
      kind: 'directed',
      request: {...entering, service, priority, remainingMs},
    };
  }

  /** Whether the request may begin now; it may have waited since its arrival. */
  mayBegin({nested, ownDeadlineMs}: enteringRequest.EnteringRequest): boolean {
    const {clock, stopSchedule} = this.options;
    const nowMs = clock.monotonicMs();
    return stopSchedule.mayBegin({nested, deadlineMs: ownDeadlineMs}, nowMs);
  }

  /** Admits a request, with a token of the limit of its organisation. */
  admit(request: enteringRequest.DirectedRequest): Admission {
    const {limits} = this.options;
    const {nested, organisation, priority, remainingMs, route} = request;
    const shedding = nested ? null : this.shedding.decide(request);
    if (shedding) return this.refuseShed(request, shedding);
    const grant = this.takeToken(organisation);
    if (grant.kind === 'refused') {
      const {retryAfterMs} = grant;
      return this.refuse(request, 'limitExceeded', remainingMs, retryAfterMs);
    }
    const decision = this.decideBySuccess(request);
    if (decision?.kind === 'refuse') {
      if (organisation) limits.refund(organisation.name);
      const lowSuccess = sheddingDecider.lowSuccess(decision, priority);
      return this.refuseShed(request, lowSuccess);
    }
    return {
      kind: 'admitted',
      noteEnd: result => {
        if (decision) {
          this.options.success?.noteEnd(route, decision.start, result);
        }
        if (organisation && (result === null || result.kind === 'refused')) {
          limits.refund(organisation.name);
        }
      },
    };
  }

  private takeToken(
    organisation: routing.Organisation | null,
  ): fleetLimits.LimitVerdict {
    const {clock, limits} = this.options;
    if (!organisation) return {kind: 'granted'};
    return limits.tryTake(organisation.name, clock.monotonicMs());
  }

  private decideBySuccess({
    nested,
    priority,
    route,
  }: enteringRequest.DirectedRequest) {
    if (nested) return null;
    return this.options.success?.decide({route: route.name, priority}) ?? null;
  }

  private refuseInStop(entering: enteringRequest.EnteringRequest): Refusal {
    const {clock, stopSchedule} = this.options;
    const nowMs = clock.monotonicMs();
    const stop = {
      requestMs: entering.ownDeadlineMs - nowMs,
      remainingMs: stopSchedule.remainingMs(nowMs),
    };
    return this.refuse({...entering, stop}, 'targetLeaving', 0, 0);
  }

  private refuseShed(
    request: enteringRequest.DirectedRequest,
    shedding: responseBuilder.SheddingDecision,
  ): Refusal {
    const {remainingMs, route} = request;
    const retryAfterMs = sheddingDecider.retryAfterMs(shedding, route);
    const context = {...request, shedding};
    return this.refuse(context, 'overloaded', remainingMs, retryAfterMs);
  }

  private refuse(
    context: enteringRequest.EnteringRequest & responseBuilder.RefusalContext,
    reason: Parameters<responseBuilder.ResponseBuilder['refuse']>[1],
    remainingMs: number,
    retryAfterMs: number,
  ): Refusal {
    const {arrivedMs, requestId} = context;
    const response = this.responses.refuse(
      requestId,
      reason,
      remainingMs,
      arrivedMs,
      retryAfterMs,
      context,
    );
    return {kind: 'refused', response};
  }
}
