import type * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as httpBinding from './http-binding.js';
import * as bodyRefusals from './body-refusals.js';
import * as responseBuilder from './response-builder.js';
import type * as callerHttpServer from './caller-http-server.js';
import type * as bodyMemory from './body-memory.js';
import * as requestHeaders from './request-headers.js';
import type * as routedRequest from './routed-request.js';
import type * as requestLogger from './request-logger.js';
import type * as fleetState from './fleet-state.js';
import type * as loadMonitor from './load-monitor.js';
import type * as requestForwarder from './request-forwarder.js';
import type * as requestCosts from './request-costs.js';
import * as requestPreview from './request-preview.js';
import type * as requestSuccess from './request-success.js';
import * as requestPriority from './request-priority.js';
import * as sheddingDecider from './shedding-decider.js';
import type * as stopSchedule from './stop-schedule.js';
import type * as workScheduler from './work-scheduler.js';
import * as targetCall from './target-call.js';

/**
 * Retry delay of a request refused because the configuration may be outdated. A
 * lost connection to the platform is replaced within this time.
 */
const STALE_RETRY_AFTER_MS = 500;

export interface RequestHandlerOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
  readonly requestLog: requestLogger.RequestLogger;
  readonly binding: httpBinding.HttpBinding;
  readonly state: fleetState.FleetState;
  readonly limits: fleetLimits.FleetRateLimits;
  /**
   * Downstream pressure reported by the services that this host sends requests
   * to.
   */
  readonly entryPressure: admission.PressureTable;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'decide'> &
    Partial<Pick<requestCosts.RequestCosts, 'preview'>>;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: Pick<requestSuccess.RequestSuccess, 'decide' | 'noteEnd'> &
    Partial<Pick<requestSuccess.RequestSuccess, 'preview'>>;
  /** Reports the overload of this process. */
  readonly monitor: Pick<loadMonitor.LoadMonitor, 'processPressure'>;
  readonly scheduler: workScheduler.WorkScheduler;
  readonly forwarder: requestForwarder.RequestForwarder;
  readonly stopSchedule: stopSchedule.StopSchedule;
  /** Shown in previews. */
  readonly memory?: bodyMemory.ProcessMemory;
}

/**
 * Handles a request in packages/host-daemon from its arrival at this host to its
 * response: route, API key, load shedding and rate limit. In packages/daemon,
 * `CallerHandler` and `EntryHandler` do this, with handles and idempotency keys
 * in addition.
 */
export class RequestHandler {
  private readonly responses: responseBuilder.ResponseBuilder;
  private readonly bodyRefusals: bodyRefusals.BodyRefusals;
  private readonly shedding: sheddingDecider.SheddingDecider;
  private readonly headers: requestHeaders.RequestHeaders;
  readonly preview: requestPreview.RequestPreview;

  constructor(private readonly options: RequestHandlerOptions) {
    this.responses = new responseBuilder.ResponseBuilder(options);
    this.bodyRefusals = new bodyRefusals.BodyRefusals(
      this.responses,
      options.metrics,
    );
    this.shedding = new sheddingDecider.SheddingDecider(options);
    this.headers = new requestHeaders.RequestHeaders(options.binding);
    const {shedding} = this;
    this.preview = new requestPreview.RequestPreview({...options, shedding});
  }

  async handle(
    incoming: callerHttpServer.IncomingRequest,
  ): Promise<callerHttpServer.CallerResponse | null> {
    const {arrivedMs} = incoming;
    const requestId = this.headers.requestId(incoming);
    const {index} = this.options.state;
    if (!index) {
      this.responses.outcomes.noteReceived(responseBuilder.UNROUTED);
      return this.responses.refuse(requestId, 'documentMissing', 0, arrivedMs);
    }
    const route = index.matchRoute(
      this.headers.host(incoming),
      requestHeaders.withoutQuery(incoming.path),
    );
    if (!route) {
      return this.refuseInvalid(requestId, 'routeUnknown', arrivedMs, null);
    }
    const key = this.headers.key(incoming);
    const verdict = index.checkKey(route, key);
    switch (verdict.kind) {
      case 'missing':
        return this.refuseInvalid(requestId, 'keyMissing', arrivedMs, route);
      case 'unknown':
        return this.refuseInvalid(requestId, 'keyUnknown', arrivedMs, route);
      case 'allowed':
        return this.admit(
          incoming,
          requestId,
          index,
          route,
          verdict.organisation,
          key === null,
          arrivedMs,
        );
    }
  }

  private async admit(
    incoming: callerHttpServer.IncomingRequest,
    requestId: string,
    index: routing.ConfigurationIndex,
    route: routing.Route,
    organisation: routing.Organisation | null,
    withoutKey: boolean,
    arrivedMs: number,
  ): Promise<callerHttpServer.CallerResponse | null> {
    const {clock, limits, stopSchedule, success} = this.options;
    const nested = withoutKey && route.isPublic;
    const timeoutMs = this.headers.timeoutMs(incoming);
    const ownDeadlineMs = arrivedMs + Math.min(timeoutMs, route.timeoutMs);
    const entering = {route, organisation, nested};
    const beginning = {nested, deadlineMs: ownDeadlineMs};
    this.responses.outcomes.noteReceived(entering);
    const refuse = (reason: protocol.RefusalReasonName, remainingMs: number) =>
      this.responses.refuse(
        requestId,
        reason,
        remainingMs,
        arrivedMs,
        0,
        entering,
      );
    const nowMs = clock.monotonicMs();
    if (!stopSchedule.mayBegin(beginning, nowMs)) {
      const stop = {
        requestMs: ownDeadlineMs - nowMs,
        remainingMs: stopSchedule.remainingMs(nowMs),
      };
      return this.responses.refuse(
        requestId,
        'targetLeaving',
        0,
        arrivedMs,
        0,
        {...entering, stop},
      );
    }
    const remainingMs = Math.min(
      ownDeadlineMs - arrivedMs,
      stopSchedule.remainingMs(arrivedMs),
    );
    const service = index.nextService(route);
    if (service === null) return refuse('noTarget', remainingMs);
    const directed = {...entering, service};
    const priority = requestPriority.requestPriority(organisation, route);
    const refuseShed = (shedding: responseBuilder.SheddingDecision) =>
      this.responses.refuse(
        requestId,
        'overloaded',
        remainingMs,
        arrivedMs,
        sheddingDecider.retryAfterMs(shedding, route),
        {...directed, shedding},
      );
    const shedding = nested
      ? null
      : this.shedding.decide({route, service, organisation, priority});
    if (shedding) return refuseShed(shedding);
    if (organisation) {
      const grant = limits.tryTake(organisation.name, clock.monotonicMs());
      if (grant.kind === 'refused') {
        return this.responses.refuse(
          requestId,
          'limitExceeded',
          remainingMs,
          arrivedMs,
          grant.retryAfterMs,
          directed,
        );
      }
    }
    const decision = nested
      ? null
      : success?.decide({route: route.name, priority});
    if (decision?.kind === 'refuse') {
      if (organisation) limits.refund(organisation.name);
      return refuseShed(sheddingDecider.lowSuccess(decision, priority));
    }
    const noteEnd = (result: targetCall.CallResult | null) => {
      if (decision) success?.noteEnd(route, decision.start, result);
      if (organisation && (result === null || result.kind === 'refused')) {
        limits.refund(organisation.name);
      }
    };
    const contentLength = this.headers.contentLength(incoming);
    const {maximumBodyBytes} = index.configuration.limits;
    if ((contentLength ?? 0) > maximumBodyBytes) {
      noteEnd(null);
      return this.bodyRefusals.refuseTooLong(requestId, arrivedMs, directed);
    }
    const bodyResult = await incoming.readBody(maximumBodyBytes);
    if (bodyResult.kind !== 'body') {
      noteEnd(null);
      return this.bodyRefusals.refuse(
        bodyResult,
        requestId,
        remainingMs,
        arrivedMs,
        directed,
      );
    }
    if (!route.idempotent) await incoming.untilEarlierAnswered();
    const deadlineMs = arrivedMs + remainingMs;
    const scheduling = await this.options.scheduler.schedule(
      'entry',
      incoming.signal,
      deadlineMs,
      incoming.isFirstOnConnection,
    );
    if (scheduling === 'cancelled') {
      noteEnd(null);
      this.responses.recordAbandoned({...directed, requestId, arrivedMs});
      return null;
    }
    const request: routedRequest.RoutedRequest = {
      requestId,
      method: incoming.method,
      path: incoming.path,
      headers: this.headers.forwarded(incoming.rawHeaders),
      body: bodyResult.body,
      contentLength,
      route,
      service,
      organisation,
      nested,
      priority,
      deadlineMs,
      clientDeadlineMs: arrivedMs + timeoutMs,
      arrivedMs,
      signal: incoming.signal,
      turn: incoming.turn,
    };
    const result = await this.forward(request, beginning, scheduling);
    noteEnd(result);
    return this.responses.build(request, result, remainingMs);
  }

  /**
   * Forwards the request if it may still begin. Its body may have arrived long
   * after its head.
   */
  private forward(
    request: routedRequest.RoutedRequest,
    beginning: stopSchedule.BeginningRequest,
    scheduling: workScheduler.ScheduleOutcome,
  ): Promise<targetCall.CallResult> {
    const {clock, forwarder, stopSchedule} = this.options;
    if (scheduling !== 'start') {
      return Promise.resolve(refusedAtEntry(scheduling));
    }
    return stopSchedule.mayBegin(beginning, clock.monotonicMs())
      ? forwarder.forward(request)
      : Promise.resolve(refusedAtEntry('targetLeaving'));
  }

  /**
   * Refuses a request for a reason after which clients do not retry. If a
   * configuration change that allows the request may have been missed, refuses
   * it with a reason that lets them retry.
   */
  private refuseInvalid(
    requestId: string,
    reason: 'routeUnknown' | 'keyMissing' | 'keyUnknown',
    arrivedMs: number,
    route: routing.Route | null,
  ): callerHttpServer.CallerResponse {
    const refused = {...responseBuilder.UNROUTED, route};
    this.responses.outcomes.noteReceived(refused);
    const isFresh = this.options.state.isConfigurationFresh(arrivedMs);
    return isFresh
      ? this.responses.refuse(requestId, reason, 0, arrivedMs, 0, refused)
      : this.responses.refuse(
          requestId,
          'configurationStale',
          0,
          arrivedMs,
          STALE_RETRY_AFTER_MS,
          refused,
        );
  }
}

function refusedAtEntry(
  reason: protocol.RefusalReasonName,
): targetCall.CallResult {
  return {...targetCall.refusedResult(reason), isAtEntry: true};
}
