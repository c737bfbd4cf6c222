import type * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as bodyMemory from './body-memory.js';
import * as bodyRefusals from './body-refusals.js';
import type * as callerHttpServer from './caller-http-server.js';
import type * as enteringRequest from './entering-request.js';
import type * as httpBinding from './http-binding.js';
import * as requestAdmission from './request-admission.js';
import type * as requestBody from './request-body.js';
import * as requestHeaders from './request-headers.js';
import type * as routedRequest from './routed-request.js';
import type * as requestLogger from './request-logger.js';
import type * as fleetState from './fleet-state.js';
import type * as loadMonitor from './load-monitor.js';
import type * as requestForwarder from './request-forwarder.js';
import type * as requestCosts from './request-costs.js';
import * as requestPreview from './request-preview.js';
import type * as requestSuccess from './request-success.js';
import * as responseBuilder from './response-builder.js';
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
  private readonly admission: requestAdmission.RequestAdmission;
  private readonly headers: requestHeaders.RequestHeaders;
  readonly preview: requestPreview.RequestPreview;

  constructor(private readonly options: RequestHandlerOptions) {
    this.responses = new responseBuilder.ResponseBuilder(options);
    this.bodyRefusals = new bodyRefusals.BodyRefusals(
      this.responses,
      options.metrics,
    );
    const shedding = new sheddingDecider.SheddingDecider(options);
    this.admission = new requestAdmission.RequestAdmission(
      options,
      this.responses,
      shedding,
    );
    this.headers = new requestHeaders.RequestHeaders(options.binding);
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
      case 'allowed': {
        const timeoutMs = this.headers.timeoutMs(incoming);
        const entering = {
          incoming,
          requestId,
          route,
          organisation: verdict.organisation,
          nested: key === null && route.isPublic,
          arrivedMs,
          timeoutMs,
          ownDeadlineMs: arrivedMs + Math.min(timeoutMs, route.timeoutMs),
        };
        return this.enter(entering, index);
      }
    }
  }

  /** Admits a request and runs it, or refuses it. */
  private async enter(
    entering: enteringRequest.EnteringRequest,
    index: routing.ConfigurationIndex,
  ): Promise<callerHttpServer.CallerResponse | null> {
    this.responses.outcomes.noteReceived(entering);
    const direction = this.admission.direct(entering, index);
    if (direction.kind === 'refused') return direction.response;
    const {request} = direction;
    const admission = this.admission.admit(request);
    if (admission.kind === 'refused') return admission.response;
    const {maximumBodyBytes} = index.configuration.limits;
    return this.run(request, maximumBodyBytes, admission.noteEnd);
  }

  /** Receives the body of an admitted request and forwards the request. */
  private async run(
    request: enteringRequest.DirectedRequest,
    maximumBodyBytes: number,
    noteEnd: requestAdmission.NoteEnd,
  ): Promise<callerHttpServer.CallerResponse | null> {
    const {arrivedMs, incoming, remainingMs, requestId, route} = request;
    const contentLength = this.headers.contentLength(incoming);
    if ((contentLength ?? 0) > maximumBodyBytes) {
      noteEnd(null);
      return this.bodyRefusals.refuseTooLong(requestId, arrivedMs, request);
    }
    const bodyResult = await incoming.readBody(maximumBodyBytes);
    if (bodyResult.kind !== 'body') {
      noteEnd(null);
      return this.bodyRefusals.refuse(
        bodyResult,
        requestId,
        remainingMs,
        arrivedMs,
        request,
      );
    }
    if (!route.idempotent) await incoming.untilEarlierAnswered();
    const scheduling = await this.options.scheduler.schedule(
      'entry',
      incoming.signal,
      arrivedMs + remainingMs,
      incoming.isFirstOnConnection,
    );
    if (scheduling === 'cancelled') {
      noteEnd(null);
      this.responses.recordAbandoned(request);
      return null;
    }
    const routed = this.routedRequest(request, bodyResult.body, contentLength);
    const result = await this.forward(routed, request, scheduling);
    noteEnd(result);
    return this.responses.build(routed, result, remainingMs);
  }

  private routedRequest(
    request: enteringRequest.DirectedRequest,
    body: requestBody.RequestBody,
    contentLength: number | null,
  ): routedRequest.RoutedRequest {
    const {arrivedMs, incoming, remainingMs, timeoutMs} = request;
    return {
      requestId: request.requestId,
      method: incoming.method,
      path: incoming.path,
      headers: this.headers.forwarded(incoming.rawHeaders),
      body,
      contentLength,
      route: request.route,
      service: request.service,
      organisation: request.organisation,
      nested: request.nested,
      priority: request.priority,
      deadlineMs: arrivedMs + remainingMs,
      clientDeadlineMs: arrivedMs + timeoutMs,
      arrivedMs,
      signal: incoming.signal,
      turn: incoming.turn,
    };
  }

  /**
   * Forwards the request if it may still begin. Its body may have arrived long
   * after its head.
   */
  private forward(
    routed: routedRequest.RoutedRequest,
    request: enteringRequest.EnteringRequest,
    scheduling: workScheduler.ScheduleOutcome,
  ): Promise<targetCall.CallResult> {
    if (scheduling !== 'start') {
      return Promise.resolve(refusedAtEntry(scheduling));
    }
    return this.admission.mayBegin(request)
      ? this.options.forwarder.forward(routed)
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
