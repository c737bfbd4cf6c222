import type * as serviceCosts from './service-costs.js';

/**
 * Requests of each route of a priority that are admitted at least, as a fraction
 * of what an equal share for all of them would admit.
 */
const MINIMUM_ADMITTED_RATIO = 0.7;

/**
 * Largest fraction that is refused of the requests that run at the saturated
 * service itself. Its daemons serve nested calls before them and refuse the
 * rest without any loss of work, so they would pay twice. With 0.9, a tenth of
 * what the decision without costs serves was left.
 */
const MAXIMUM_DIRECT_SHARE = 0.35;

/**
 * The same before requests of the most important priority of all are refused.
 * Without it, they were refused 0.03 of the time at 1.4 times the capacity.
 */
const MAXIMUM_DIRECT_SHARE_BY_PRIORITY = 0.6;

/**
 * Largest fraction that is refused while more important requests are admitted,
 * unless the pressure is higher.
 */
const MAXIMUM_SHARE_BY_PRIORITY = 0.98;

/**
 * Requests of one priority whose cost is this many times that of the cheapest
 * refused ones are refused entirely; the share of those between rises
 * gradually, so that small changes of a cost do not move a whole route from one
 * side to the other.
 */
const TRANSITION_RATIO = 1.5;

/**
 * A route whose cost is a smaller fraction of the average cost of a request is
 * not refused: its refusals would relieve the service of less than this
 * fraction, and small costs may be errors of the learned calls per run. With
 * 0.1 and 0.25, up to 0.9 and 0.15 of the requests of a route without calls
 * were refused in the simulation of a deep overload.
 */
const MINIMUM_COST_RATIO = 0.3;

/**
 * Classes with less demand are forgotten, some 9 s after a single request.
 * Otherwise one early request would stay the most important priority.
 */
export const NEGLIGIBLE_DEMAND = 0.01;

const BISECTION_STEPS = 20;

/** Requests of one route and priority. */
export interface DemandClass {
  readonly route: string;
  readonly service: string;
  readonly priority: number;
  /** Decaying count. */
  demand: number;
}

export interface PlannedClass extends DemandClass {
  readonly costs: serviceCosts.CostVector;
  share: number;
  /** Share of the previous plan, if the service itself runs the requests. */
  readonly earlierDirectShare: number;
  /** How much of it remains; the share changes no faster than that. */
  readonly keptDirectShare: number;
  /** The service for which the largest share is refused. */
  saturatedService: string;
  pressure: number;
}

/** Fractions of the work of a service that should be refused. */
export interface ServicePressures {
  /** Of the requests that other services run. */
  readonly above: number;
  /** Of the requests that the service itself runs. */
  readonly direct: {readonly pressure: number; readonly mayRefuse: boolean};
}

/**
 * Raises the shares of the classes that use the service until the refused work
 * is what the pressures ask for of the work of all classes. Shares that were
 * raised before, for this service or for others, count.
 */
export function relieve(
  service: string,
  pressures: ServicePressures,
  classes: readonly PlannedClass[],
): void {
  const {above, direct} = pressures;
  let demand = 0;
  let work = 0;
  let remaining = 0;
  for (const entry of classes) {
    if (costOf(entry, service) === 0) continue;
    demand += entry.demand;
    work += workOf(entry, service);
    const pressure = entry.service === service ? direct.pressure : above;
    remaining += workOf(entry, service) * (pressure - entry.share);
  }
  const minimumCost = (MINIMUM_COST_RATIO * work) / demand;
  const using = classes.filter(
    entry =>
      (direct.mayRefuse || entry.service !== service) &&
      costOf(entry, service) > 0 &&
      costOf(entry, service) >= minimumCost,
  );
  const mostImportant = Math.min(
    ...classes
      .filter(entry => entry.demand >= NEGLIGIBLE_DEMAND)
      .map(({priority}) => priority),
  );
  const lessImportant = using.filter(
    entry => entry.service === service && entry.priority > mostImportant,
  );
  let directWork = 0;
  for (const entry of lessImportant) directWork += workOf(entry, service);
  const raise = (entry: PlannedClass, share: number) => {
    if (share <= entry.share) return;
    remaining -= workOf(entry, service) * (share - entry.share);
    entry.share = share;
    entry.saturatedService = service;
    entry.pressure = above;
  };
  const priorities = new Set(using.map(({priority}) => priority));
  for (const priority of [...priorities].sort((a, b) => b - a)) {
    const group = using.filter(entry => entry.priority === priority);
    if (priority === mostImportant) {
      const directShare = remaining / directWork;
      for (const entry of lessImportant) {
        raise(
          entry,
          Math.min(
            entry.share + directShare,
            largestDirectShare(entry, MAXIMUM_DIRECT_SHARE_BY_PRIORITY),
          ),
        );
      }
    }
    if (remaining <= 0) return;
    const maximumShare = Math.max(MAXIMUM_SHARE_BY_PRIORITY, above);
    const equalShare = equalShareOf(group, service, remaining);
    const isExhausted = equalShare >= maximumShare;
    const largestShare = isExhausted
      ? maximumShare
      : 1 - MINIMUM_ADMITTED_RATIO * (1 - equalShare);
    const threshold = isExhausted
      ? -Infinity
      : thresholdFor(group, service, remaining, largestShare);
    for (const entry of group) {
      raise(entry, shareAt(entry, service, threshold, largestShare));
    }
    if (!isExhausted) return;
  }
}

/** Returns the bound of a share, which moves towards `maximum` with time. */
function largestDirectShare(
  {earlierDirectShare, keptDirectShare}: PlannedClass,
  maximum = MAXIMUM_DIRECT_SHARE,
): number {
  const difference = earlierDirectShare - maximum;
  return difference <= 0 ? maximum + difference * keptDirectShare : maximum;
}

/**
 * Returns the share at which all requests of a priority, refused alike, relieve
 * the service by `relief`; Infinity if none does.
 */
function equalShareOf(
  group: readonly PlannedClass[],
  service: string,
  relief: number,
): number {
  let work = 0;
  let refusedWork = relief;
  let directWork = 0;
  let directRefused = 0;
  for (const entry of group) {
    work += workOf(entry, service);
    refusedWork += workOf(entry, service) * entry.share;
    if (entry.service === service) {
      directWork += workOf(entry, service);
      directRefused += workOf(entry, service) * largestDirectShare(entry);
    }
  }
  const share = refusedWork / work;
  if (share * directWork <= directRefused || directWork === 0) return share;
  const rest = work - directWork;
  if (rest <= 0) return Infinity;
  return (refusedWork - directRefused) / rest;
}

/**
 * Returns the logarithm of the cost above which requests of a priority have to
 * be refused so that the refused work grows by `relief`.
 */
function thresholdFor(
  group: readonly PlannedClass[],
  service: string,
  relief: number,
  largestShare: number,
): number {
  const width = Math.log(TRANSITION_RATIO);
  const logarithms = group.map(entry => Math.log(costOf(entry, service)));
  let low = Math.min(...logarithms) - width;
  let high = Math.max(...logarithms);
  const reliefAt = (threshold: number) => {
    let sum = 0;
    for (const entry of group) {
      const share = shareAt(entry, service, threshold, largestShare);
      sum += workOf(entry, service) * Math.max(0, share - entry.share);
    }
    return sum;
  };
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2;
    if (reliefAt(middle) > relief) low = middle;
    else high = middle;
  }
  return high;
}

function shareAt(
  entry: PlannedClass,
  service: string,
  threshold: number,
  largestShare: number,
): number {
  const excess = Math.log(costOf(entry, service)) - threshold;
  const fraction = excess / Math.log(TRANSITION_RATIO);
  const share = largestShare * Math.min(1, Math.max(0, fraction));
  return entry.service === service
    ? Math.min(largestDirectShare(entry), share)
    : share;
}

function costOf(entry: PlannedClass, service: string): number {
  return entry.costs.get(service) ?? 0;
}

function workOf(entry: PlannedClass, service: string): number {
  return entry.demand * costOf(entry, service);
}
