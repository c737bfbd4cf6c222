import * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as callDialect from './call-dialect.js';
import * as callerAnswers from './caller-answers.js';
import * as callerEndpoint from './caller-endpoint.js';
import type * as callerRequest from './caller-request.js';
import type * as decisionLog from './decision-log.js';
import type * as fleetState from './fleet-state.js';
import type * as loadObserver from './load-observer.js';
import type * as requestForwarder from './request-forwarder.js';
import * as requestPriority from './request-priority.js';
import type * as startGate from './start-gate.js';
import * as targetCall from './target-call.js';

/** Deadline of a request whose client names none or a malformed one. */
const DEFAULT_DEADLINE_MS = 10_000;

/** A request that is shed may come back after this part of its objective. */
const SHED_RETURN_SHARE = 0.3;

/** A lost connection to the platform is replaced within this time. */
const STALE_RETURN_MS = 500;

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
  /** Tells whether this process has too much to do. */
  readonly observer: Pick<loadObserver.LoadObserver, 'processPressure'>;
  readonly gate: startGate.StartGate;
  readonly forwarder: requestForwarder.RequestForwarder;
  /** Whether the planned stop leaves no time to finish a new request. */
  readonly hasDeparted: () => boolean;
}

/** The path of a request from its arrival at this host to its answer. */
export class CallerPath {
  private readonly answers: callerAnswers.CallerAnswers;
  private readonly mix = new admission.PriorityMix();
  private readonly ownHeaders: ReadonlySet<string>;
  private readonly requestIdName: string;
  private readonly deadlineName: string;
  private readonly keyName: string;

  constructor(private readonly options: CallerPathOptions) {
    const {dialect} = options;
    this.answers = new callerAnswers.CallerAnswers(options);
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
    if (this.options.hasDeparted()) {
      return this.answers.refuse(requestId, 'targetLeaving', 0, arrivedMs);
    }
    if (!index) {
      return this.answers.refuse(requestId, 'documentMissing', 0, arrivedMs);
    }
    const route = index.matchRoute(
      this.single(incoming, 'host') ?? '',
      pathOf(incoming.path),
    );
    if (!route) return this.refuseFinally(requestId, 'routeUnknown', arrivedMs);
    const authorization = this.single(incoming, this.keyName);
    const key =
      authorization === null
        ? null
        : (this.options.dialect.parseKey(authorization) ?? '');
    const verdict = index.checkKey(route, key);
    switch (verdict.kind) {
      case 'missing':
        return this.refuseFinally(requestId, 'keyMissing', arrivedMs);
      case 'unknown':
        return this.refuseFinally(requestId, 'keyUnknown', arrivedMs);
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
      return this.answers.refuse(requestId, 'noTarget', remainingMs, arrivedMs);
    }
    const nested = keyless && route.isPublic;
    const priority = requestPriority.requestPriority(organisation, route);
    const shedding = nested ? null : this.sheddingOf(service, priority);
    if (shedding) {
      return this.answers.refuse(
        requestId,
        'overloaded',
        remainingMs,
        arrivedMs,
        route.objectiveMs * SHED_RETURN_SHARE,
        {route, service, organisation, nested, shedding},
      );
    }
    if (organisation) {
      const granted = limits.take(organisation.name, clock.monotonicMs());
      if (granted.kind === 'refused') {
        return this.answers.refuse(
          requestId,
          'limitExceeded',
          remainingMs,
          arrivedMs,
          granted.retryAfterMs,
          {route, service, organisation, nested},
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
    const deadlineMs = arrivedMs + remainingMs;
    const start = await this.options.gate.pass(
      'entry',
      incoming.signal,
      deadlineMs,
      incoming.isFirst,
    );
    if (start === 'cancelled') {
      if (organisation) limits.giveBack(organisation.name);
      return null;
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
      deadlineMs,
      arrivedMs,
      signal: incoming.signal,
    };
    const answer =
      start === 'start'
        ? await this.options.forwarder.forward(request)
        : targetCall.refusedCall(start);
    if (answer.kind === 'refused' && organisation) {
      limits.giveBack(organisation.name);
    }
    return this.answers.conclude(request, answer, remainingMs);
  }

  /**
   * Refuses a request that a client does not repeat, unless a change of the
   * configuration that allows it may have been missed.
   */
  private refuseFinally(
    requestId: string,
    reason: 'routeUnknown' | 'keyMissing' | 'keyUnknown',
    arrivedMs: number,
  ): callerEndpoint.EndpointAnswer {
    const isFresh = this.options.state.isConfigurationFresh(arrivedMs);
    return isFresh
      ? this.answers.refuse(requestId, reason, 0, arrivedMs)
      : this.answers.refuse(
          requestId,
          'configurationStale',
          0,
          arrivedMs,
          STALE_RETURN_MS,
        );
  }

  /**
   * Returns why to refuse a request that would add to an overload of this
   * process or of a service below its own, before any work is done for it, or
   * null.
   */
  private sheddingOf(
    service: string,
    priority: number,
  ): callerAnswers.Shedding | null {
    const {clock, entry, observer, random} = this.options;
    const nowMs = clock.monotonicMs();
    this.mix.note(priority, nowMs);
    const fromBelow = entry.of(service, nowMs);
    const ofProcess = observer.processPressure;
    const pressure = Math.max(fromBelow, ofProcess);
    if (pressure === 0) return null;
    const mix = this.mix.shares(nowMs);
    const share = admission.refusedShare(pressure, priority, mix);
    if (random.next() >= share) return null;
    const source = ofProcess > fromBelow ? 'thisProcess' : 'servicesBelow';
    return {source, pressure, share, priority};
  }

  private clientDeadlineMs(incoming: callerEndpoint.EndpointRequest): number {
    const value = this.single(incoming, this.deadlineName);
    if (value === null || !/^\d{1,9}$/.test(value)) return DEFAULT_DEADLINE_MS;
    return Number(value);
  }

  /** Keeps names and order; drops what this system sets itself. */
  private forwardedHeaders(rawHeaders: readonly string[]): protocol.HeaderList {
    return transport.passedHeaders(rawHeaders, this.ownHeaders);
  }

  private single(
    incoming: callerEndpoint.EndpointRequest,
    lowerName: string,
  ): string | null {
    const value = incoming.headers[lowerName];
    return typeof value === 'string' ? value : null;
  }
}

function pathOf(target: string): string {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
}
