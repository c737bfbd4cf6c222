import * as admission from '@camphorwharf/admission';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as loadMonitor from './load-monitor.js';
import type * as requestCosts from './request-costs.js';
import type * as responseBuilder from './response-builder.js';

/**
 * Retry delay of a shed request, as a fraction of the route's latency
 * objective.
 */
const RETRY_AFTER_RATIO = 0.3;

/**
 * Upper bound of the factor by which the retry delay grows with the refused
 * share. At the bound, requests come back after nine tenths of the objective.
 */
const MAXIMUM_RETRY_AFTER_FACTOR = 3;

export interface SheddingDeciderOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  /**
   * Downstream pressure reported by the services that this host sends requests
   * to.
   */
  readonly entryPressure: admission.PressureTable;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'decide'> &
    Partial<Pick<requestCosts.RequestCosts, 'preview'>>;
  /** Reports the overload of this process. */
  readonly monitor: Pick<loadMonitor.LoadMonitor, 'processPressure'>;
}

/** A request that is refused because requests like it rarely succeed. */
export function lowSuccess(
  {probability, service}: admission.SuccessDecision & {kind: 'refuse'},
  priority: number,
): responseBuilder.SheddingDecision {
  const share = 1 - probability;
  return {
    source: 'lowSuccess',
    saturatedService: service,
    pressure: share,
    share,
    priority,
  };
}

/** A request that is not nested, before any work is done for it. */
export interface EnteringRequest {
  readonly route: Pick<routing.Route, 'name'>;
  readonly service: string;
  readonly organisation: Pick<routing.Organisation, 'name'> | null;
  readonly priority: number;
}

/** Decides which requests to shed where they enter. */
export class SheddingDecider {
  private readonly priorityMix = new admission.PriorityMix();

  constructor(private readonly options: SheddingDeciderOptions) {}

  /**
   * Decides before any work is done whether to shed a request that would add to
   * an overload of this process or of a service that it uses. Returns null to
   * accept the request.
   */
  decide(request: EnteringRequest): responseBuilder.SheddingDecision | null {
    const {clock, costs, random} = this.options;
    const nowMs = clock.monotonicMs();
    this.priorityMix.note(request.priority, nowMs);
    const draw = random.next();
    const byCost = costs?.decide(costRequest(request), draw, nowMs);
    const decision = this.refusal(request, this.priorityMix, nowMs, byCost);
    return byCost?.kind === 'refuse' || (decision && draw < decision.share)
      ? decision
      : null;
  }

  /**
   * Returns the refusal of the returned share of the requests like this one, if
   * it arrived now, without counting it.
   */
  preview(request: EnteringRequest): responseBuilder.SheddingDecision | null {
    const {clock, costs} = this.options;
    const nowMs = clock.monotonicMs();
    const mix = this.priorityMix.copy();
    mix.note(request.priority, nowMs);
    const byCost = costs?.preview?.(costRequest(request), nowMs);
    return this.refusal(request, mix, nowMs, byCost);
  }

  /** Returns the refusal of a share of the requests like this one. */
  private refusal(
    {priority, service}: EnteringRequest,
    mix: admission.PriorityMix,
    nowMs: number,
    byCost: admission.CostDecision = {kind: 'unknown'},
  ): responseBuilder.SheddingDecision | null {
    const {entryPressure, monitor} = this.options;
    if (byCost.kind === 'refuse') {
      const {pressure, share} = byCost;
      return {
        source: 'serviceCost',
        saturatedService: byCost.service,
        pressure,
        share,
        priority,
      };
    }
    const downstreamPressure =
      byCost.kind === 'unknown' ? entryPressure.pressureOf(service, nowMs) : 0;
    const processPressure = monitor.processPressure;
    const pressure = Math.max(downstreamPressure, processPressure);
    if (pressure === 0) return null;
    const share = admission.refusedShare(pressure, priority, mix.shares(nowMs));
    if (share === 0) return null;
    const source =
      processPressure > downstreamPressure ? 'thisProcess' : 'servicesBelow';
    return {source, saturatedService: null, pressure, share, priority};
  }
}

function costRequest(request: EnteringRequest): admission.CostRequest {
  const {organisation, priority, route, service} = request;
  return {
    route: route.name,
    service,
    priority,
    organisation: organisation?.name ?? null,
  };
}

/**
 * Returns the retry delay of a shed request. The larger the refused share of
 * requests like it, the longer it takes until a retry has a chance, so that
 * clients whose requests are likely to be admitted come back first.
 */
export function retryAfterMs(
  {share, source}: responseBuilder.SheddingDecision,
  route: Pick<routing.Route, 'objectiveMs'>,
): number {
  const isByShare = source === 'serviceCost' || source === 'lowSuccess';
  const factor = isByShare
    ? Math.min(MAXIMUM_RETRY_AFTER_FACTOR, 1 / Math.max(0.01, 1 - share))
    : 1;
  return route.objectiveMs * RETRY_AFTER_RATIO * factor;
}
