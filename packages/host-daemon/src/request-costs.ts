import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as reportedLoad from './reported-load.js';
import * as requestHeaders from './request-headers.js';
import * as runningRuns from './running-runs.js';

/**
 * One response in so many carries a cost vector. Vectors are averages that
 * change slowly, and each is about a tenth of a short response.
 */
const RESPONSES_PER_VECTOR = 16;

/** Maximum number of routes whose vectors are exported as metrics. */
const MAXIMUM_EXPORTED_ROUTES = 20;

/** Speed of a server whose speed is not known. */
const USUAL_SPEED = 1;

/** The parts of a call that select its route. */
export interface RoutableCall {
  readonly path: string;
  readonly headers: protocol.HeaderList;
}

export interface RequestCostsOptions {
  readonly metrics: Pick<runtime.Metrics, 'count' | 'gauge'>;
  readonly random: runtime.RandomSource;
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly ownService: string;
  readonly index: () => Pick<
    routing.ConfigurationIndex,
    'configuration' | 'matchRoute'
  > | null;
  /** Replaces the average run time by route. */
  readonly work?: admission.WorkByRoute;
}

/**
 * What this daemon knows of the costs of requests. Beside a backend server, it
 * learns the slot time and the nested calls of each route and composes the cost
 * vector of a route from them and from the vectors of the called routes. Where
 * requests enter, it decides by the vectors in the responses.
 */
export class RequestCosts {
  private readonly costs = new admission.ServiceCosts();
  private readonly runs = new runningRuns.RunningRuns();
  private readonly nestedCalls = new admission.NestedCalls();
  private readonly work: admission.WorkByRoute;
  private readonly slotPressures = new admission.PressureTable();
  private readonly pressures = new admission.PressureTable();
  private readonly admission = new admission.CostAdmission(this.costs, {
    slots: this.slotPressures,
    all: this.pressures,
  });
  private known: {
    readonly configuration: routing.FleetConfiguration;
    readonly services: ReadonlySet<string>;
  } | null = null;
  private readonly exportedRoutes = new Set<string>();
  private readonly exportedServices = new Set<string>();

  constructor(private readonly options: RequestCostsOptions) {
    this.work = options.work ?? new admission.AverageRunWork();
  }

  /** Records that the local backend server starts a call. */
  noteStart(call: RoutableCall, deadlineMs: number): void {
    const route = this.routeOf(call);
    if (route !== null) this.runs.start(call, route, deadlineMs);
  }

  /** Records that a nested call was answered. */
  noteNestedAnswer(deadlineMs: number): void {
    this.runs.noteCompletedCall(deadlineMs);
  }

  /**
   * Returns the progress of the run that makes a nested call with the deadline;
   * null if it is not known.
   */
  progressOf(deadlineMs: number, nowMs: number): admission.RunProgress | null {
    return this.runs.progressOf(deadlineMs, route => {
      let calls = 0;
      for (const count of this.nestedCalls.callsPerRun(route, nowMs).values()) {
        calls += count;
      }
      return Math.round(calls);
    });
  }

  /** Records the end of a call whose start was recorded. */
  noteRun(
    call: RoutableCall,
    startedMs: number,
    endedMs: number,
    completed: boolean,
  ): void {
    const route = this.runs.end(call);
    if (route === null) return;
    this.nestedCalls.noteRun(route, startedMs, endedMs);
    if (completed) {
      this.work.note(route, endedMs - startedMs, USUAL_SPEED, endedMs);
    }
  }

  /** Records a call that the local backend server makes. */
  noteNestedCall(route: string, nowMs: number): void {
    this.nestedCalls.noteCall(route, nowMs);
  }

  /**
   * Returns the vector of a call that the local backend server has answered, if
   * its response is one of the few that carry it.
   */
  sampleOf(call: RoutableCall): protocol.ReportedLoad['costs'] {
    if (this.options.random.next() >= 1 / RESPONSES_PER_VECTOR) {
      return undefined;
    }
    const route = this.routeOf(call);
    const ownMs = route === null ? null : this.work.expectedMs(route);
    if (route === null || ownMs === null) return undefined;
    const {clock, ownService} = this.options;
    return admission.encodeCosts(
      admission.composeVector(
        ownService,
        ownMs,
        this.nestedCalls.callsPerRun(route, clock.monotonicMs()),
        called => this.costs.vectorOf(called),
      ),
    );
  }

  /** Records the vector in a response to a call of the route. */
  noteCosts(route: string, received: unknown): void {
    const services = this.knownServices();
    const vector = admission.decodeCosts(received, service =>
      services.has(service),
    );
    if (vector) {
      this.costs.note(route, vector);
      return;
    }
    this.options.metrics.count(
      'cost_vectors_rejected_total',
      'Cost vectors in responses that were malformed or out of range.',
    );
  }

  /** Records the load that a target of the service reports. */
  notePressure(
    service: string,
    load: reportedLoad.ReportedPressures,
    nowMs: number,
  ): void {
    const pressure = reportedLoad.ownPressureOf(load);
    this.pressures.update(service, Math.min(1, pressure), nowMs);
    const slotPressure = load.slotPressure ?? 0;
    this.slotPressures.update(service, Math.min(1, slotPressure), nowMs);
  }

  /** See `CostAdmission.decide`. */
  decide(
    request: admission.CostRequest,
    draw: number,
    nowMs: number,
  ): admission.CostDecision {
    return this.admission.decide(request, draw, nowMs);
  }

  /** See `CostAdmission.preview`. */
  preview(
    request: admission.CostRequest,
    nowMs: number,
  ): admission.CostDecision {
    return this.admission.preview(request, nowMs);
  }

  /** Exports the vectors of the routes that were known first. */
  exportMetrics(): void {
    const {clock, metrics} = this.options;
    for (const route of this.costs.routes) {
      if (this.exportedRoutes.size >= MAXIMUM_EXPORTED_ROUTES) break;
      this.exportedRoutes.add(route);
    }
    for (const route of this.exportedRoutes) {
      for (const [service, costMs] of this.costs.vectorOf(route) ?? []) {
        metrics.gauge(
          'route_cost_slot_seconds',
          'Slot time that a request of a route uses at a service, in seconds.',
          costMs / 1_000,
          {route, service},
        );
      }
    }
    const nowMs = clock.monotonicMs();
    for (const [service] of this.pressures.pressures(nowMs)) {
      this.exportedServices.add(service);
    }
    // Also of services whose pressure has ended.
    for (const service of this.exportedServices) {
      metrics.gauge(
        'service_pressure',
        'Part of the work for a service that should not begin, from 0 to 1.',
        this.pressures.pressureOf(service, nowMs),
        {service},
      );
    }
  }

  /** Services that the current configuration names. */
  private knownServices(): ReadonlySet<string> {
    const configuration = this.options.index()?.configuration ?? null;
    if (!configuration) return new Set();
    if (this.known?.configuration !== configuration) {
      const {routes, services} = configuration;
      const names = [
        ...services.map(({name}) => name),
        ...routes.flatMap(({destinations}) =>
          destinations.map(({service}) => service),
        ),
      ];
      this.known = {configuration, services: new Set(names)};
    }
    return this.known.services;
  }

  private routeOf({headers, path}: RoutableCall): string | null {
    const index = this.options.index();
    const host = headers.find(([name]) => name.toLowerCase() === 'host');
    if (!index || !host) return null;
    const pathname = requestHeaders.withoutQuery(path);
    return index.matchRoute(host[1], pathname)?.name ?? null;
  }
}
