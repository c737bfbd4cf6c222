import * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as httpBinding from './http-binding.js';
import * as callerHttpServer from './caller-http-server.js';
import * as requestOutcomes from './request-outcomes.js';
import type * as requestTally from './request-tally.js';
import type * as routedRequest from './routed-request.js';
import * as requestLogger from './request-logger.js';
import type * as fleetState from './fleet-state.js';
import * as refusalFields from './refusal-fields.js';
import type * as targetCall from './target-call.js';

/** Upper bound of Retry-After as a fraction of the client's remaining time. */
const MAXIMUM_RETRY_AFTER_RATIO = 0.3;

/**
 * Randomises Retry-After so that clients refused together retry at different
 * times.
 */
const RETRY_JITTER = 0.5;

/** HTTP status codes of outcomes in which the request may have run. */
const UNKNOWN_STATUS = 502;
const TIMEOUT_STATUS = 504;

/** Why a request was shed before any work was done for it. */
export interface SheddingDecision {
  readonly source:
    | 'thisProcess'
    | 'servicesBelow'
    | 'serviceCost'
    /** The service refuses so many calls that few requests succeed. */
    | 'lowSuccess';
  /** The service that the refusal relieves; null if it is not known. */
  readonly saturatedService: string | null;
  /** Fraction of the demand that should be rejected, from 0 to 1. */
  readonly pressure: number;
  /** Fraction of the requests of this priority that is rejected. */
  readonly share: number;
  readonly priority: number;
}

/** Why a request was refused because this daemon stops. */
export interface StopDecision {
  /** Time for which the request may last, in milliseconds. */
  readonly requestMs: number;
  /** Time until its response would be due, in milliseconds. */
  readonly remainingMs: number;
}

/** What is known about a request when it is refused. */
export interface RefusalContext extends requestOutcomes.CountedRequest {
  readonly route: Pick<routing.Route, 'name' | 'priority'> | null;
  readonly service?: string;
  readonly shedding?: SheddingDecision;
  /** Why it may not begin in a planned stop. */
  readonly stop?: StopDecision;
}

/** A request whose caller has left before its answer. */
export type AbandonedRequest = RefusalContext & {
  readonly requestId: string;
  readonly arrivedMs: number;
};

/** A request that is refused before its route is known. */
export const UNROUTED: RefusalContext = {
  route: null,
  organisation: null,
  nested: false,
};

export interface ResponseBuilderOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
  readonly requestLog: requestLogger.RequestLogger;
  readonly binding: httpBinding.HttpBinding;
  readonly state: fleetState.FleetState;
}

/** Builds, counts and logs the responses to callers. */
export class ResponseBuilder {
  readonly outcomes: requestOutcomes.RequestOutcomes;

  constructor(private readonly options: ResponseBuilderOptions) {
    this.outcomes = new requestOutcomes.RequestOutcomes(options.metrics);
  }

  /**
   * Builds the response for the result of a forwarded request. Returns null
   * when the caller has disconnected.
   */
  build(
    request: routedRequest.RoutedRequest,
    result: targetCall.CallResult,
    remainingMs: number,
  ): callerHttpServer.CallerResponse | null {
    const {clock, metrics} = this.options;
    const elapsedMs = clock.monotonicMs() - request.arrivedMs;
    if (request.signal.aborted) {
      this.recordAbandoned(request);
      return null;
    }
    switch (result.kind) {
      case 'answer':
        this.outcomes.noteAnswer(request, result.status, elapsedMs);
        metrics.observeSeconds(
          'request_duration_seconds',
          'Time from the arrival of a request to its answer, in seconds.',
          elapsedMs / 1_000,
          {route: request.route.name},
        );
        if (result.status >= 500) {
          this.options.requestLog.log('request-failed-at-backend-server', {
            requestId: request.requestId,
            route: request.route.name,
            service: request.service,
            organisation: request.organisation?.name ?? null,
            nested: request.nested,
            instance: result.instance ?? null,
            status: result.status,
            elapsedMs: Math.round(elapsedMs),
            configuration: this.options.state.version,
          });
        }
        return {
          status: result.status,
          headers: transport
            .removeHopByHopHeaders(result.headers)
            .filter(([name]) => name.toLowerCase() !== 'date'),
          body: result.body,
        };
      case 'refused':
        return this.refuse(
          request.requestId,
          result.reason,
          remainingMs - elapsedMs,
          request.arrivedMs,
          result.retryAfterMs,
          request,
          requestOutcomes.refusalPlace(result),
        );
      case 'unknown':
        return this.unknownOutcome(request, result, elapsedMs);
    }
  }

  /**
   * Counts and logs requests whose caller disconnected, apart from those that
   * timed out.
   */
  recordAbandoned(request: AbandonedRequest): void {
    const elapsedMs = this.options.clock.monotonicMs() - request.arrivedMs;
    this.outcomes.noteEnd(request, 'abandoned');
    const nested = String(request.nested);
    this.options.metrics.count(
      'requests_abandoned_total',
      'Requests whose caller left before the answer, by nesting.',
      {nested},
    );
    this.options.requestLog.log('request-abandoned', {
      requestId: request.requestId,
      route: request.route?.name ?? null,
      service: request.service ?? null,
      organisation: request.organisation?.name ?? null,
      nested: request.nested,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  private unknownOutcome(
    request: routedRequest.RoutedRequest,
    result: targetCall.CallResult & {kind: 'unknown'},
    elapsedMs: number,
  ): callerHttpServer.CallerResponse {
    const {instance, reason} = result;
    this.outcomes.noteEnd(request, 'failed');
    this.options.metrics.count(
      'requests_unknown_total',
      'Requests whose outcome is unknown, by reason.',
      {reason},
    );
    this.options.requestLog.log(
      'request-unknown',
      {
        requestId: request.requestId,
        route: request.route.name,
        service: request.service,
        organisation: request.organisation?.name ?? null,
        nested: request.nested,
        instance: instance ?? null,
        reason,
        elapsedMs: Math.round(elapsedMs),
        configuration: this.options.state.version,
      },
      requestLogger.attemptBudget(request.route),
    );
    const status =
      reason === 'deadlineDuringRun' ? TIMEOUT_STATUS : UNKNOWN_STATUS;
    return callerHttpServer.adviceResponse(
      status,
      protocol.UnknownReason[reason].advice,
      [
        [this.options.binding.requestIdHeader, request.requestId],
        ['Camphorwharf-Reason', reason],
      ],
    );
  }

  /** Builds the response to a request that has not run and never will. */
  refuse(
    requestId: string,
    reason: protocol.RefusalReasonName,
    remainingMs: number,
    arrivedMs: number,
    retryAfterMs = 0,
    context: RefusalContext = UNROUTED,
    place: requestTally.RefusalPlaceName = 'entry',
  ): callerHttpServer.CallerResponse {
    const {metrics, random} = this.options;
    this.outcomes.noteRefusal(context, place, reason);
    metrics.count(
      'requests_refused_total',
      'Requests refused without having run, by reason.',
      {reason},
    );
    if (context.shedding) {
      const {saturatedService, source} = context.shedding;
      metrics.count(
        'requests_shed_total',
        'Requests refused where they enter, by priority and saturated service.',
        {
          priority: String(context.route?.priority ?? ''),
          service: saturatedService ?? '',
          source,
        },
      );
    }
    this.logRefusal(requestId, reason, arrivedMs, retryAfterMs, context, place);
    const status = refusalStatus(reason);
    const headers: Array<readonly [string, string]> = [
      ['Camphorwharf-Reason', reason],
    ];
    if (requestId !== '') {
      headers.push([this.options.binding.requestIdHeader, requestId]);
    }
    if (status === 503 || status === 429) {
      const jitteredMs = retryAfterMs * (1 + RETRY_JITTER * random.next());
      const maximumMs = Math.max(0, remainingMs * MAXIMUM_RETRY_AFTER_RATIO);
      const retryMs =
        maximumMs > 0 ? Math.min(jitteredMs, maximumMs) : jitteredMs;
      headers.push(['Retry-After', (retryMs / 1_000).toFixed(3)]);
    }
    return callerHttpServer.adviceResponse(
      status,
      protocol.RefusalReason[reason].advice,
      headers,
    );
  }

  logRefusal(
    requestId: string,
    reason: requestTally.TalliedReason,
    arrivedMs: number,
    retryAfterMs: number,
    context: RefusalContext,
    place: requestTally.RefusalPlaceName,
  ): void {
    const {clock, state} = this.options;
    const elapsedMs = clock.monotonicMs() - arrivedMs;
    this.options.requestLog.log('request-refused', {
      requestId,
      reason,
      place,
      route: context.route?.name ?? null,
      service: context.service ?? null,
      organisation: context.organisation?.name ?? null,
      nested: context.route ? context.nested : null,
      elapsedMs: Math.round(elapsedMs),
      retryAfterMs: Math.round(retryAfterMs),
      ...refusalFields.sheddingFields(context.shedding),
      ...refusalFields.stopFields(context.stop),
      configuration: state.version,
      configurationAgeMs: Math.round(state.configurationAgeMs(arrivedMs)),
    });
  }
}

function refusalStatus(reason: protocol.RefusalReasonName): number {
  const {httpStatus} = protocol.RefusalReason[reason];
  // A deadline that expires before the call has run is an ordinary refusal.
  return httpStatus === 504 || httpStatus === 499 ? 503 : httpStatus;
}
