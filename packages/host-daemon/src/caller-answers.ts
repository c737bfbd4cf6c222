import * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as callDialect from './call-dialect.js';
import * as callerEndpoint from './caller-endpoint.js';
import type * as callerRequest from './caller-request.js';
import type * as decisionLog from './decision-log.js';
import type * as fleetState from './fleet-state.js';
import * as roundedShare from './rounded-share.js';
import type * as targetCall from './target-call.js';

/** The part of its remaining time that a client waits at most. */
const CLIENT_WAIT_SHARE = 0.3;

/** Spreads the return of clients that were refused together. */
const RETRY_JITTER = 0.5;

/** HTTP status of each outcome that may have run. */
const UNKNOWN_STATUS = 502;
const TIMEOUT_STATUS = 504;

/** Why a request was shed before any work was done for it. */
export interface Shedding {
  readonly source: 'thisProcess' | 'servicesBelow';
  /** The part of the demand that should not begin, from 0 to 1. */
  readonly pressure: number;
  /** The part of the requests of this priority that is refused. */
  readonly share: number;
  readonly priority: number;
}

/** What is known of a request when it is refused. */
export type RefusedSubject = Pick<
  callerRequest.CallerRequest,
  'route' | 'service' | 'organisation' | 'nested'
> & {readonly shedding?: Shedding};

export interface CallerAnswersOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
  readonly decisions: decisionLog.DecisionLog;
  readonly dialect: callDialect.CallDialect;
  readonly state: fleetState.FleetState;
}

/** Builds, counts and logs the answers that callers get. */
export class CallerAnswers {
  constructor(private readonly options: CallerAnswersOptions) {}

  /**
   * Turns the outcome of a forwarded request into its answer; null when its
   * caller has left and nobody reads one.
   */
  conclude(
    request: callerRequest.CallerRequest,
    answer: targetCall.TargetAnswer,
    remainingMs: number,
  ): callerEndpoint.EndpointAnswer | null {
    const {clock, metrics} = this.options;
    const elapsedMs = clock.monotonicMs() - request.arrivedMs;
    if (request.signal.aborted) {
      this.abandon(request, elapsedMs);
      return null;
    }
    switch (answer.kind) {
      case 'answer':
        metrics.observeSeconds(
          'request_duration_seconds',
          'Time from the arrival of a request to its answer, in seconds.',
          elapsedMs / 1_000,
          {route: request.route.name},
        );
        if (answer.status >= 500) {
          this.options.decisions.note('request-failed-at-backend-server', {
            requestId: request.requestId,
            route: request.route.name,
            service: request.service,
            instance: answer.instance ?? null,
            status: answer.status,
            elapsedMs: Math.round(elapsedMs),
            configuration: this.options.state.version,
          });
        }
        return {
          status: answer.status,
          headers: transport
            .withoutHopHeaders(answer.headers)
            .filter(([name]) => name.toLowerCase() !== 'date'),
          body: answer.body,
        };
      case 'refused':
        return this.refuse(
          request.requestId,
          answer.reason,
          remainingMs - elapsedMs,
          request.arrivedMs,
          answer.retryAfterMs,
          request,
        );
      case 'unknown':
        return this.unknown(request, answer, elapsedMs);
    }
  }

  /** Tells requests whose caller has left from those that took too long. */
  private abandon(
    request: callerRequest.CallerRequest,
    elapsedMs: number,
  ): void {
    const nested = String(request.nested);
    this.options.metrics.count(
      'requests_abandoned_total',
      'Requests whose caller left before the answer, by nesting.',
      {nested},
    );
    this.options.decisions.note('request-abandoned', {
      requestId: request.requestId,
      route: request.route.name,
      service: request.service,
      nested: request.nested,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  private unknown(
    request: callerRequest.CallerRequest,
    answer: targetCall.TargetAnswer & {kind: 'unknown'},
    elapsedMs: number,
  ): callerEndpoint.EndpointAnswer {
    const {instance, reason} = answer;
    this.options.metrics.count(
      'requests_unknown_total',
      'Requests whose outcome is unknown, by reason.',
      {reason},
    );
    this.options.decisions.note('request-unknown', {
      requestId: request.requestId,
      route: request.route.name,
      service: request.service,
      instance: instance ?? null,
      reason,
      elapsedMs: Math.round(elapsedMs),
      configuration: this.options.state.version,
    });
    const status =
      reason === 'deadlineDuringRun' ? TIMEOUT_STATUS : UNKNOWN_STATUS;
    return callerEndpoint.plainAnswer(
      status,
      protocol.UnknownReason[reason].advice,
      [
        [this.options.dialect.requestIdHeader, request.requestId],
        ['Camphorwharf-Reason', reason],
      ],
    );
  }

  /** Answers a request that has not run and never will. */
  refuse(
    requestId: string,
    reason: protocol.RefusalReasonName,
    remainingMs: number,
    arrivedMs: number,
    retryAfterMs = 0,
    subject: RefusedSubject | null = null,
  ): callerEndpoint.EndpointAnswer {
    const {clock, metrics, random, state} = this.options;
    metrics.count(
      'requests_refused_total',
      'Requests refused without having run, by reason.',
      {reason},
    );
    const elapsedMs = clock.monotonicMs() - arrivedMs;
    this.options.decisions.note('request-refused', {
      requestId,
      reason,
      route: subject?.route.name ?? null,
      service: subject?.service ?? null,
      organisation: subject?.organisation?.name ?? null,
      nested: subject?.nested ?? null,
      elapsedMs: Math.round(elapsedMs),
      retryAfterMs: Math.round(retryAfterMs),
      ...sheddingFields(subject?.shedding),
      configuration: state.version,
      configurationAgeMs: Math.round(state.configurationAgeMs(arrivedMs)),
    });
    const status = statusOf(reason);
    const headers: Array<readonly [string, string]> = [
      ['Camphorwharf-Reason', reason],
    ];
    if (requestId !== '') {
      headers.push([this.options.dialect.requestIdHeader, requestId]);
    }
    if (status === 503 || status === 429) {
      const spreadMs = retryAfterMs * (1 + RETRY_JITTER * random.next());
      const longestMs = Math.max(0, remainingMs * CLIENT_WAIT_SHARE);
      const waitMs = longestMs > 0 ? Math.min(spreadMs, longestMs) : spreadMs;
      headers.push(['Retry-After', (waitMs / 1_000).toFixed(3)]);
    }
    return callerEndpoint.plainAnswer(
      status,
      protocol.RefusalReason[reason].advice,
      headers,
    );
  }
}

function statusOf(reason: protocol.RefusalReasonName): number {
  const {httpStatus} = protocol.RefusalReason[reason];
  // A deadline that ends before a call has run is a refusal like any other.
  return httpStatus === 504 || httpStatus === 499 ? 503 : httpStatus;
}

function sheddingFields(shedding: Shedding | undefined): runtime.LogFields {
  if (!shedding) return {};
  const {source, pressure, share, priority} = shedding;
  return {
    shedBy: source,
    pressure: roundedShare.roundedShare(pressure),
    share: roundedShare.roundedShare(share),
    priority,
  };
}
