import * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as callDialect from './call-dialect.js';
import * as callerEndpoint from './caller-endpoint.js';
import type * as callerRequest from './caller-request.js';
import type * as decisionLog from './decision-log.js';
import type * as fleetState from './fleet-state.js';
import type * as requestForwarder from './request-forwarder.js';

/** Deadline of a request whose client names none or a malformed one. */
const DEFAULT_DEADLINE_MS = 10_000;

/** The part of its remaining time that a client waits at most. */
const CLIENT_WAIT_SHARE = 0.3;

/** Spreads the return of clients that were refused together. */
const RETRY_JITTER = 0.5;

/** A request that is shed may come back after this part of its objective. */
const SHED_RETURN_SHARE = 0.3;

/** HTTP status of each outcome that may have run. */
const UNKNOWN_STATUS = 502;
const TIMEOUT_STATUS = 504;

export interface CallerPathOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
  readonly decisions: decisionLog.DecisionLog;
  readonly dialect: callDialect.CallDialect;
  readonly state: fleetState.FleetState;
  readonly limits: fleetLimits.FleetRateLimits;
  /** Pressure below the services that requests of this host go to. */
  readonly entry: admission.PressureTable;
  readonly forwarder: requestForwarder.RequestForwarder;
}

/** The path of a request from its arrival at this host to its answer. */
export class CallerPath {
  private readonly ownHeaders: ReadonlySet<string>;
  private readonly requestIdName: string;
  private readonly deadlineName: string;
  private readonly keyName: string;

  constructor(private readonly options: CallerPathOptions) {
    const {dialect} = options;
    this.requestIdName = dialect.requestIdHeader.toLowerCase();
    this.deadlineName = dialect.deadlineHeader.toLowerCase();
    this.keyName = dialect.keyHeader.toLowerCase();
    this.ownHeaders = new Set([
      this.deadlineName,
      this.keyName,
      dialect.instanceHeader.toLowerCase(),
      dialect.organisationHeader.toLowerCase(),
      dialect.callerServiceHeader.toLowerCase(),
    ]);
  }

  async handle(
    incoming: callerEndpoint.EndpointRequest,
  ): Promise<callerEndpoint.EndpointAnswer | null> {
    const arrivedMs = this.options.clock.monotonicMs();
    const requestId = this.single(incoming, this.requestIdName) ?? '';
    const {index} = this.options.state;
    if (!index) return this.refuse(requestId, 'documentMissing', 0, arrivedMs);
    const route = index.matchRoute(
      this.single(incoming, 'host') ?? '',
      pathOf(incoming.path),
    );
    if (!route) return this.refuse(requestId, 'routeUnknown', 0, arrivedMs);
    const authorization = this.single(incoming, this.keyName);
    const key =
      authorization === null
        ? null
        : (this.options.dialect.parseKey(authorization) ?? '');
    const verdict = index.checkKey(route, key);
    switch (verdict.kind) {
      case 'missing':
        return this.refuse(requestId, 'keyMissing', 0, arrivedMs);
      case 'unknown':
        return this.refuse(requestId, 'keyUnknown', 0, arrivedMs);
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
    incoming: callerEndpoint.EndpointRequest,
    requestId: string,
    index: routing.ConfigurationIndex,
    route: routing.Route,
    organisation: routing.Organisation | null,
    keyless: boolean,
    arrivedMs: number,
  ): Promise<callerEndpoint.EndpointAnswer | null> {
    const {clock, limits} = this.options;
    const remainingMs = Math.min(
      this.clientDeadlineMs(incoming),
      route.timeoutMs,
    );
    const service = index.nextService(route);
    if (service === null) {
      return this.refuse(requestId, 'noTarget', remainingMs, arrivedMs);
    }
    const nested = keyless && route.isPublic;
    const priority = organisation?.priority ?? route.priority;
    if (!nested && this.isShed(index, service, priority)) {
      return this.refuse(
        requestId,
        'overloaded',
        remainingMs,
        arrivedMs,
        route.objectiveMs * SHED_RETURN_SHARE,
      );
    }
    if (organisation) {
      const granted = limits.take(organisation.name, clock.monotonicMs());
      if (granted.kind === 'refused') {
        return this.refuse(
          requestId,
          'limitExceeded',
          remainingMs,
          arrivedMs,
          granted.retryAfterMs,
        );
      }
    }
    const declared = this.single(incoming, 'content-length');
    if (Number(declared ?? 0) > index.configuration.limits.maximumBodyBytes) {
      if (organisation) limits.giveBack(organisation.name);
      return callerEndpoint.plainAnswer(413, 'Send a shorter body.');
    }
    let body: callerEndpoint.EndpointBody;
    try {
      body = await incoming.readBody();
    } catch {
      if (organisation) limits.giveBack(organisation.name);
      return null; // The client broke off its own request.
    }
    const request: callerRequest.CallerRequest = {
      requestId,
      method: incoming.method,
      path: incoming.path,
      headers: this.forwardedHeaders(incoming.rawHeaders),
      body,
      contentLength: declared === null ? null : Number(declared),
      route,
      service,
      organisation,
      nested,
      priority,
      deadlineMs: arrivedMs + remainingMs,
      arrivedMs,
      signal: incoming.signal,
    };
    const answer = await this.options.forwarder.forward(request);
    if (answer.kind === 'refused' && organisation) {
      limits.giveBack(organisation.name);
    }
    return this.conclude(request, answer, remainingMs);
  }

  /**
   * Whether to refuse a request that would add to an overload below its
   * service, before any work is done for it.
   */
  private isShed(
    index: routing.ConfigurationIndex,
    service: string,
    priority: number,
  ): boolean {
    const {clock, entry, random} = this.options;
    const pressure = entry.of(service, clock.monotonicMs());
    if (pressure === 0) return false;
    const share = admission.refusedShare(pressure, priority, index.priorities);
    return random.next() < share;
  }

  private conclude(
    request: callerRequest.CallerRequest,
    answer: callerRequest.CallerAnswer,
    remainingMs: number,
  ): callerEndpoint.EndpointAnswer | null {
    const {clock, metrics} = this.options;
    const elapsedMs = clock.monotonicMs() - request.arrivedMs;
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
        return this.unknown(request, answer.reason, elapsedMs);
    }
  }

  private unknown(
    request: callerRequest.CallerRequest,
    reason: protocol.UnknownReasonName,
    elapsedMs: number,
  ): callerEndpoint.EndpointAnswer {
    this.options.metrics.count(
      'requests_unknown_total',
      'Requests whose outcome is unknown, by reason.',
      {reason},
    );
    this.options.decisions.note('request-unknown', {
      requestId: request.requestId,
      route: request.route.name,
      service: request.service,
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

  private refuse(
    requestId: string,
    reason: protocol.RefusalReasonName,
    remainingMs: number,
    arrivedMs: number,
    retryAfterMs = 0,
    request: callerRequest.CallerRequest | null = null,
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
      route: request?.route.name ?? null,
      service: request?.service ?? null,
      organisation: request?.organisation?.name ?? null,
      nested: request?.nested ?? null,
      elapsedMs: Math.round(elapsedMs),
      retryAfterMs: Math.round(retryAfterMs),
      configuration: state.version,
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

  private clientDeadlineMs(incoming: callerEndpoint.EndpointRequest): number {
    const value = this.single(incoming, this.deadlineName);
    if (value === null || !/^\d{1,9}$/.test(value)) return DEFAULT_DEADLINE_MS;
    return Number(value);
  }

  /** Keeps names and order; drops what this system sets itself. */
  private forwardedHeaders(rawHeaders: readonly string[]): protocol.HeaderList {
    return transport
      .withoutHopHeaders(transport.pairHeaders(rawHeaders))
      .filter(([name]) => !this.ownHeaders.has(name.toLowerCase()));
  }

  private single(
    incoming: callerEndpoint.EndpointRequest,
    lowerName: string,
  ): string | null {
    const value = incoming.headers[lowerName];
    return typeof value === 'string' ? value : null;
  }
}

function statusOf(reason: protocol.RefusalReasonName): number {
  const {httpStatus} = protocol.RefusalReason[reason];
  // A deadline that ends before a call has run is a refusal like any other.
  return httpStatus === 504 || httpStatus === 499 ? 503 : httpStatus;
}

function pathOf(target: string): string {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
}
