import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';
import * as targetState from './target-state.js';

/**
 * Weight of the failure rate that this sender observes. A request makes several
 * nested calls, so a target that loses a few percent of them is worse than one
 * in another availability zone.
 */
const FAILURE_WEIGHT = 8;

/**
 * Weight of the share of poor outcomes that the target's daemon reports, beyond
 * that of the other targets, and the maximum cost. A longer wait at the others
 * hurts more requests than a target that fails: at 0.78 of the slots, with one
 * of eight targets failing 55 of 100 calls, 0.07 of the requests were hurt
 * without the maximum and 0.04 with it.
 */
const POOR_WEIGHT = 12;
export const MAXIMUM_POOR_COST = 1;

/** Cost from which a target gets trial requests, in average run times. */
const TRIAL_COST = 0.3;

/**
 * Trial requests of a target half of whose calls are poor, relative to its fair
 * share of the requests. With 0.1, calls that are never answered occupied the
 * slots of a server for seconds after it was well.
 */
const TRIAL_SHARE = 0.07;

/** The same while nearly all of them end well. */
const MAXIMUM_TRIAL_SHARE = 0.2;

/** The sums are computed again after this time, not for each request. */
const REFRESH_INTERVAL_MS = 50;

interface ServiceShares {
  sum: number;
  computedMs: number;
}

/**
 * The cost of targets whose calls end poorly, in average run times. The shares
 * that their daemons report are compared with those of the other targets of the
 * service, so that none is avoided while all are equally poor.
 */
export class FailingTargets {
  private readonly services = new WeakMap<
    readonly directory.BackendServer[],
    ServiceShares
  >();

  constructor(
    private readonly states: ReadonlyMap<string, targetState.TargetState>,
    private readonly random: runtime.RandomSource,
  ) {}

  /** Returns the cost of the failures that this sender has observed. */
  ownCost(state: targetState.TargetState, nowMs: number): number {
    return FAILURE_WEIGHT * state.failures(nowMs);
  }

  /**
   * Returns the cost of the poor outcomes that the target's daemon reports.
   * `candidates` are all targets of its service.
   */
  poorCost(
    candidates: readonly directory.BackendServer[],
    state: targetState.TargetState,
    nowMs: number,
  ): number {
    if (!state.isPoor(nowMs) || candidates.length < 2) return 0;
    const share = state.poorShare(nowMs);
    const others = Math.max(0, this.sum(candidates, nowMs) - share);
    const usual = others / (candidates.length - 1);
    const excess = share - usual - targetState.POOR_SHARE_MARGIN;
    const poorCost = POOR_WEIGHT * Math.max(0, excess);
    return Math.min(poorCost, MAXIMUM_POOR_COST);
  }

  /**
   * Whether to send a request to a target of this cost as a trial, which shows
   * when it is well. `sampled` targets are compared for each request. There are
   * more trials while they end well.
   */
  isTrial(
    cost: number,
    state: targetState.TargetState,
    sampled: number,
    nowMs: number,
  ): boolean {
    if (cost < TRIAL_COST || !state.isPoor(nowMs)) return false;
    const poorShare = state.poorShare(nowMs);
    const share = (TRIAL_SHARE * (1 - poorShare)) / poorShare;
    return this.random.next() < Math.min(share, MAXIMUM_TRIAL_SHARE) / sampled;
  }

  private sum(
    candidates: readonly directory.BackendServer[],
    nowMs: number,
  ): number {
    let shares = this.services.get(candidates);
    if (!shares) {
      shares = {sum: 0, computedMs: -Infinity};
      this.services.set(candidates, shares);
    }
    if (nowMs - shares.computedMs < REFRESH_INTERVAL_MS) return shares.sum;
    shares.computedMs = nowMs;
    shares.sum = 0;
    for (const {instance} of candidates) {
      shares.sum += this.states.get(instance)?.poorShare(nowMs) ?? 0;
    }
    return shares.sum;
  }
}
