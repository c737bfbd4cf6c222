import type * as pressureTable from './pressure-table.js';
import * as costPlan from './cost-plan.js';
import type * as serviceCosts from './service-costs.js';

/** Time constant of the decay of request counts, in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 2_000;

/**
 * The shares are computed anew after this time, in milliseconds. Pressures are
 * sampled at the same interval; computing takes up to 0.5 ms.
 */
const PLAN_LIFETIME_MS = 100;

/**
 * After this many refusals in succession, the next request of the route or of
 * the organisation is admitted. A smaller number would raise the admitted
 * fraction noticeably above that of the largest share.
 */
const MAXIMUM_CONSECUTIVE_REFUSALS = 50;

/**
 * Time constant of the refused share of requests that run at the saturated
 * service itself, in milliseconds: the loop delay of `PressureControl`.
 */
const DIRECT_TIME_CONSTANT_MS = 800;

/** Bounds of the tables; beyond them all entries are forgotten. */
const MAXIMUM_CLASSES = 1_024;
const MAXIMUM_SEQUENCES = 4_096;

/** Pressures below this value are treated as 0. */
const NEGLIGIBLE_PRESSURE = 0.005;

export interface CostRequest {
  readonly route: string;
  /** The service that runs the request. */
  readonly service: string;
  /** 0 is the most important. */
  readonly priority: number;
  readonly organisation: string | null;
}

/** Own pressures of services, without those of the services below them. */
export interface ReportedPressures {
  /** Of the slots of the backend servers. */
  readonly slots: Pick<pressureTable.PressureTable, 'pressures'>;
  /**
   * Of the slots or of the processor time of the daemons, whichever is higher.
   * Requests that run at the service itself are not refused for the processor
   * time: they have used none of another service yet, and the senders avoid the
   * busiest daemons.
   */
  readonly all: Pick<pressureTable.PressureTable, 'pressures'>;
}

export type CostDecision =
  /** The cost of the route is not known. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'admit'}
  | {
      readonly kind: 'refuse';
      /** The saturated service that the refusal relieves. */
      readonly service: string;
      readonly pressure: number;
      /** Fraction of the requests of this route and priority that is refused. */
      readonly share: number;
    };

/**
 * Decides which requests to refuse where they enter. Each saturated service
 * asks for a fraction of the work that is offered to it to be refused, its
 * pressure. The work of a route at a service is its demand times its cost
 * there. Less important requests are refused before more important ones, and
 * dearer ones before cheaper ones of the same priority.
 */
export class CostAdmission {
  private readonly classes = new Map<string, costPlan.DemandClass>();
  private updatedMs = 0;
  private plan = new Map<string, costPlan.PlannedClass>();
  private plannedMs = -Infinity;
  private readonly routeRefusals = new RefusalSequences();
  private readonly organisationRefusals = new RefusalSequences();

  constructor(
    private readonly costs: Pick<serviceCosts.ServiceCosts, 'vectorOf'>,
    private readonly pressures: ReportedPressures,
  ) {}

  /**
   * Decides about a request; `draw` is a random number from 0 to 1. Each
   * request counts as demand, also a refused one.
   */
  decide(request: CostRequest, draw: number, nowMs: number): CostDecision {
    const key = classKey(request);
    this.noteDemand(key, request, nowMs);
    if (this.costs.vectorOf(request.route) === null) return {kind: 'unknown'};
    const planned = this.plannedClass(key, nowMs);
    const isRefused = planned !== undefined && draw < planned.share;
    const {route, organisation} = request;
    const mayRefuseRoute = this.routeRefusals.note(route, isRefused);
    const mayRefuseOrganisation =
      organisation === null ||
      this.organisationRefusals.note(organisation, isRefused);
    if (!isRefused) return {kind: 'admit'};
    if (!mayRefuseRoute || !mayRefuseOrganisation) {
      this.routeRefusals.note(route, false);
      if (organisation !== null) {
        this.organisationRefusals.note(organisation, false);
      }
      return {kind: 'admit'};
    }
    const {saturatedService, pressure, share} = planned;
    return {kind: 'refuse', service: saturatedService, pressure, share};
  }

  /**
   * Returns the decision for a request that arrived now, without counting it. A
   * refusal concerns the returned share of the requests.
   */
  preview(request: CostRequest, nowMs: number): CostDecision {
    if (this.costs.vectorOf(request.route) === null) return {kind: 'unknown'};
    const key = classKey(request);
    const isPlanned =
      nowMs - this.plannedMs < PLAN_LIFETIME_MS && this.plan.has(key);
    const planned = (
      isPlanned ? this.plan : this.computePlan(nowMs, this.classesWith(request))
    ).get(key);
    if (!planned || planned.share === 0) return {kind: 'admit'};
    const {saturatedService, pressure, share} = planned;
    return {kind: 'refuse', service: saturatedService, pressure, share};
  }

  /** Returns the classes as they would be with one more request. */
  private classesWith(
    request: CostRequest,
  ): ReadonlyMap<string, costPlan.DemandClass> {
    const {priority, route, service} = request;
    const key = classKey(request);
    const demand = (this.classes.get(key)?.demand ?? 0) + 1;
    const entry = {route, service, priority, demand};
    return new Map(this.classes).set(key, entry);
  }

  private noteDemand(key: string, request: CostRequest, nowMs: number): void {
    this.decay(nowMs);
    let entry = this.classes.get(key);
    if (!entry) {
      if (this.classes.size >= MAXIMUM_CLASSES) this.classes.clear();
      const {route, service, priority} = request;
      this.classes.set(key, (entry = {route, service, priority, demand: 0}));
    }
    entry.demand++;
  }

  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedMs;
    if (elapsedMs <= 0) return;
    this.updatedMs = nowMs;
    const factor = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
    for (const [key, entry] of this.classes) {
      entry.demand *= factor;
      if (entry.demand < costPlan.NEGLIGIBLE_DEMAND) this.classes.delete(key);
    }
  }

  private plannedClass(
    key: string,
    nowMs: number,
  ): costPlan.PlannedClass | undefined {
    const ageMs = nowMs - this.plannedMs;
    if (ageMs >= PLAN_LIFETIME_MS || (ageMs > 0 && !this.plan.has(key))) {
      this.plan = this.computePlan(nowMs, this.classes);
      this.plannedMs = nowMs;
    }
    return this.plan.get(key);
  }

  /**
   * Returns what bounds the share of a class if the saturated service runs its
   * requests. Refusing those takes effect at once, while `PressureControl`
   * compares the load with what was admitted a loop delay before; if they
   * followed each pressure, both would swing.
   */
  private directShares(
    key: string,
    nowMs: number,
  ): Pick<
    costPlan.PlannedClass,
    'share' | 'earlierDirectShare' | 'keptDirectShare'
  > {
    const previous = this.plan.get(key);
    const isDirect = previous?.saturatedService === previous?.service;
    const earlierDirectShare = isDirect ? (previous?.share ?? 0) : 0;
    const keptDirectShare = Math.exp(
      (this.plannedMs - nowMs) / DIRECT_TIME_CONSTANT_MS,
    );
    const share = earlierDirectShare * keptDirectShare;
    return {share, earlierDirectShare, keptDirectShare};
  }

  private computePlan(
    nowMs: number,
    demands: ReadonlyMap<string, costPlan.DemandClass>,
  ): Map<string, costPlan.PlannedClass> {
    const plan = new Map<string, costPlan.PlannedClass>();
    const slots = relevantPressures(this.pressures.slots, nowMs);
    const all = relevantPressures(this.pressures.all, nowMs);
    if (slots.length === 0 && all.length === 0) return plan;
    for (const [key, entry] of demands) {
      const costs = this.costs.vectorOf(entry.route);
      if (!costs) continue;
      plan.set(key, {
        ...entry,
        costs,
        ...this.directShares(key, nowMs),
        saturatedService: entry.service,
        pressure: this.plan.get(key)?.pressure ?? 0,
      });
    }
    const classes = [...plan.values()];
    for (const [service, pressure] of slots) {
      const pressures = {
        above: pressure,
        direct: {pressure, mayRefuse: true},
      };
      costPlan.relieve(service, pressures, classes);
    }
    const slotPressures = new Map(slots);
    for (const [service, pressure] of all) {
      const slotPressure = slotPressures.get(service) ?? 0;
      const pressures = {
        above: Math.max(pressure, slotPressure),
        direct: {pressure: slotPressure, mayRefuse: false},
      };
      costPlan.relieve(service, pressures, classes);
    }
    return plan;
  }
}

function classKey({priority, route, service}: CostRequest): string {
  return `${priority} ${service} ${route}`;
}

/** Returns the pressures that matter, the highest first. */
function relevantPressures(
  table: Pick<pressureTable.PressureTable, 'pressures'>,
  nowMs: number,
): ReadonlyArray<readonly [string, number]> {
  return [...table.pressures(nowMs)]
    .filter(([, pressure]) => pressure >= NEGLIGIBLE_PRESSURE)
    .sort(([, first], [, second]) => second - first);
}

/** Counts refusals in succession, by route or by organisation. */
class RefusalSequences {
  private readonly lengths = new Map<string, number>();

  /** Returns false if the sequence has become too long. */
  note(name: string, isRefused: boolean): boolean {
    if (!isRefused) {
      this.lengths.delete(name);
      return true;
    }
    const length = (this.lengths.get(name) ?? 0) + 1;
    if (this.lengths.size >= MAXIMUM_SEQUENCES) this.lengths.clear();
    this.lengths.set(name, length);
    return length <= MAXIMUM_CONSECUTIVE_REFUSALS;
  }
}
