import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as coldCapacity from './cold-capacity.js';
import type * as directory from './backend-server-directory.js';
import * as candidateGroups from './candidate-groups.js';
import * as failingTargets from './failing-targets.js';
import * as targetPenalty from './target-penalty.js';
import * as targetState from './target-state.js';
import * as zoneRule from './zone-rule.js';

/** Cost of the load share, in units of the average run time. */
const LOAD_WEIGHT = 0.5;

/** Cost of a target on another host, as a share of the average run time. */
const REMOTE_HOST_PENALTY = 0.1;

/** Time for which an unreachable host is avoided, in milliseconds. */
const UNREACHABLE_BACKOFF_MS = 400;

/**
 * Number of targets of a zone that are compared per request while one of them
 * has a free slot. With more, all senders would select the same target.
 */
const SAMPLE = 4;

/**
 * Number of targets of a zone that are searched for a free slot if none of the
 * sample has one.
 */
const MAXIMUM_SAMPLE = 12;

/**
 * Random cost that breaks ties, so that senders with equal reports do not
 * select the same target.
 */
const COST_JITTER = 0.03;

/** Work that is assumed if the sender knows nothing about the service. */
const ASSUMED_WORK_MS = 50;
const UNKNOWN_WORK: targetState.RequestWork = {
  workMs: ASSUMED_WORK_MS,
  averageMs: ASSUMED_WORK_MS,
};

/**
 * Selects the target of a request in packages/host-daemon: the one at which the
 * request is expected to complete soonest, from the load and the speed of
 * targets and the work of the request. Requests stay in their availability zone
 * while it has free slots, and leave it in proportion to the wait that they
 * would have there. `TargetSelector` of packages/coordination, for
 * packages/daemon, compares the latencies that the sender observes.
 */
export class TargetBalancer {
  private readonly failing: failingTargets.FailingTargets;
  private readonly groups: candidateGroups.CandidateGroups;
  // Reused by each selection, to allocate nothing per request.
  private readonly local = zoneRule.emptySelection();
  private readonly remote = zoneRule.emptySelection();

  constructor(
    readonly ownAddress: string,
    readonly ownZone: string,
    private readonly random: runtime.RandomSource,
    readonly cold: coldCapacity.ColdCapacity | null = null,
    /** What is known about each target, by instance. */
    readonly states = new Map<string, targetState.TargetState>(),
  ) {
    this.groups = new candidateGroups.CandidateGroups(ownZone);
    this.failing = new failingTargets.FailingTargets(this.states, random);
  }

  /**
   * Selects a target; returns null if no candidate is usable. Only a request
   * that may be repeated is sent to a failing target as a trial.
   */
  choose(
    candidates: readonly directory.BackendServer[],
    excluded: ReadonlySet<string>,
    coldUntilMs: (server: directory.BackendServer) => number,
    nowMs: number,
    work: targetState.RequestWork = UNKNOWN_WORK,
    mayTry = true,
  ): directory.BackendServer | null {
    const {local, remote} = this.groups.of(candidates);
    const search: zoneRule.Search = {
      candidates,
      excluded,
      coldUntilMs,
      nowMs,
      work,
      mayTry,
      reachable: true,
    };
    this.select(this.local, local, search);
    if (
      !this.local.server ||
      zoneRule.leavingShare(this.local, null, work) > 0
    ) {
      this.select(this.remote, remote, search);
      const chosen = this.chooseZone(work);
      if (chosen) return chosen;
    } else {
      return this.local.server;
    }
    // If no host seems reachable, an attempt is better than a refusal.
    const unreachable = {...search, reachable: false};
    this.select(this.local, local, unreachable);
    if (this.local.server) return this.local.server;
    this.select(this.remote, remote, unreachable);
    return this.remote.server;
  }

  /** Returns the estimated fraction of a target's slots that is in use. */
  loadShare(server: directory.BackendServer, nowMs: number): number {
    const state = this.states.get(server.instance);
    return state ? state.calls(nowMs) / Math.max(1, server.slots) : 0;
  }

  /** Whether a selected target is cold and has no capacity for this sender. */
  isColdExhausted(server: directory.BackendServer): boolean {
    return this.cold?.wasExhausted(server.instance) ?? false;
  }

  noteStart(instance: string): void {
    this.cold?.noteStart(instance);
    this.stateOf(instance).noteStart();
  }

  noteEnd(
    instance: string,
    outcome: targetState.TargetOutcome,
    load: protocol.ReportedLoad | undefined,
    nowMs: number,
  ): void {
    this.cold?.noteEnd(instance, outcome === 'refused', load, nowMs);
    this.stateOf(instance).noteEnd(outcome, load, nowMs);
  }

  /**
   * Records a run that was expected to take `expectedMs` at a target of usual
   * speed.
   */
  noteRun(
    instance: string,
    expectedMs: number,
    runMs: number,
    nowMs: number,
  ): void {
    const state = this.stateOf(instance);
    // The daemon reports that it is slow, and when it no longer is.
    if (state.isPoor(nowMs)) return;
    state.speed.noteRun(expectedMs, runMs, nowMs);
  }

  /** Returns the speed of a target, relative to the usual one. */
  speed(instance: string, nowMs: number): number {
    return this.states.get(instance)?.speed.current(nowMs) ?? 1;
  }

  /** Records the share of poor outcomes that the daemon of a target reports. */
  notePoorShare(instance: string, share: number, nowMs: number): void {
    this.stateOf(instance).notePoorShare(share, nowMs);
  }

  noteUnreachable(instance: string, nowMs: number): void {
    this.stateOf(instance).unreachableUntilMs = nowMs + UNREACHABLE_BACKOFF_MS;
  }

  /** Excludes a target from further requests until the notice is withdrawn. */
  noteLeaving(instance: string, leaving: boolean): void {
    this.stateOf(instance).leaving = leaving;
  }

  /** Removes targets that are no longer listed and have no calls in flight. */
  retain(isListed: (instance: string) => boolean): void {
    this.cold?.retain(isListed);
    for (const [instance, state] of this.states) {
      if (state.ownInFlight === 0 && !isListed(instance)) {
        this.states.delete(instance);
      }
    }
  }

  /** Decides between the best target of the own zone and that of the others. */
  private chooseZone(
    work: targetState.RequestWork,
  ): directory.BackendServer | null {
    const {local, remote} = this;
    if (!local.server || !remote.server) return local.server ?? remote.server;
    const leavingShare = zoneRule.leavingShare(local, remote, work);
    return this.random.next() < leavingShare ? remote.server : local.server;
  }

  /**
   * Finds the best of a random sample. Further targets are considered only
   * until one has a free slot: all senders would send to the shortest of all
   * queues at once.
   */
  private select(
    selection: zoneRule.Selection,
    group: candidateGroups.CandidateGroup,
    search: zoneRule.Search,
  ): void {
    zoneRule.select(selection, null, Infinity, Infinity, 0);
    const {servers} = group;
    const count = servers.length;
    if (count === 0) return;
    const stride = group.randomStride(this.random);
    let position = Math.floor(this.random.next() * count);
    let compared = 0;
    for (let step = 0; step < count; step++) {
      const server = servers[position];
      position = (position + stride) % count;
      const state = this.states.get(server.instance);
      if (!isUsable(server, state, search)) continue;
      if (compared < SAMPLE || hasFreeSlot(server, state, search.nowMs)) {
        this.compare(selection, server, state, search, Math.min(SAMPLE, count));
      }
      compared++;
      // Another target may have capacity, however many were compared.
      const isExhausted =
        selection.penalty >= targetPenalty.COLD_EXHAUSTED_PENALTY;
      if (isExhausted) continue;
      if (compared >= MAXIMUM_SAMPLE) return;
      if (compared >= SAMPLE && selection.waitMs === 0) return;
    }
  }

  /** Replaces the selection if this target completes the request sooner. */
  protected compare(
    selection: zoneRule.Selection,
    server: directory.BackendServer,
    state: targetState.TargetState | undefined,
    search: zoneRule.Search,
    sampled: number,
  ): void {
    const {nowMs} = search;
    const {averageMs, workMs} = search.work;
    let penalty = targetPenalty.coldPenalty(
      this.cold,
      server,
      search.coldUntilMs(server),
      nowMs,
    );
    let shares = this.random.next() * COST_JITTER;
    if (server.hostAddress !== this.ownAddress) shares += REMOTE_HOST_PENALTY;
    let waitMs = 0;
    let runMs = workMs;
    if (state) {
      const ownCost = this.failing.ownCost(state, nowMs);
      const poorCost = this.failing.poorCost(search.candidates, state, nowMs);
      const calls = state.calls(nowMs);
      waitMs = state.waitMs(server, calls, averageMs, nowMs);
      if (
        search.mayTry &&
        waitMs === 0 &&
        this.failing.isTrial(ownCost + poorCost, state, sampled, nowMs)
      ) {
        zoneRule.select(selection, server, 0, 0, 0);
        return;
      }
      penalty += ownCost;
      // A lower cost may be chance, and is no reason to leave the zone.
      if (poorCost < failingTargets.MAXIMUM_POOR_COST) shares += poorCost;
      else penalty += poorCost;
      penalty += targetPenalty.busyPenalty(state, this.random, nowMs);
      shares += (LOAD_WEIGHT * calls) / Math.max(1, server.slots);
      runMs = workMs / state.speed.current(nowMs);
    }
    const costMs = waitMs + runMs + averageMs * (shares + penalty);
    if (costMs >= selection.costMs) return;
    zoneRule.select(selection, server, costMs, waitMs, penalty);
  }

  private stateOf(instance: string): targetState.TargetState {
    let state = this.states.get(instance);
    if (!state) {
      state = new targetState.TargetState();
      this.states.set(instance, state);
    }
    return state;
  }
}

function isUsable(
  server: directory.BackendServer,
  state: targetState.TargetState | undefined,
  search: zoneRule.Search,
): boolean {
  if (search.excluded.has(server.instance)) return false;
  if (!state) return true;
  if (state.leaving) return false;
  return !search.reachable || search.nowMs >= state.unreachableUntilMs;
}

function hasFreeSlot(
  server: directory.BackendServer,
  state: targetState.TargetState | undefined,
  nowMs: number,
): boolean {
  if (!state) return true;
  const calls = state.calls(nowMs);
  return state.waitMs(server, calls, ASSUMED_WORK_MS, nowMs) === 0;
}
