import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';
import * as targetBalancer from './target-balancer.js';
import * as targetPenalty from './target-penalty.js';
import type * as targetState from './target-state.js';
import * as zoneRule from './zone-rule.js';

/** Number of selections from which the shares of the targets are estimated. */
const DRAWS = 200;

/** The random cost of each target is at its mean while its cost is shown. */
const MEAN_DRAW = 0.5;

const NONE: ReadonlySet<string> = new Set();

/** Why a candidate gets no request at present. */
export const CandidateExclusion = {
  /** Its daemon has announced that it leaves. */
  leaving: 'leaving',
  /** Its daemon could not be reached a moment ago. */
  connectionDown: 'connectionDown',
  /** It is cold, and this sender has used its part of the rate. */
  cold: 'cold',
  /** The own availability zone has capacity. */
  otherZone: 'otherZone',
  /** It is in no sample that was drawn. */
  outOfSample: 'outOfSample',
  /** In each sample that it is in, another one costs less. */
  dearer: 'dearer',
} as const;
export type CandidateExclusionName = keyof typeof CandidateExclusion;

/** What a request that is sent now would find at one candidate. */
export interface CandidatePreview {
  readonly server: directory.BackendServer;
  /** Expected time until it is completed, with penalties, in milliseconds. */
  readonly costMs: number;
  readonly waitMs: number;
  /** Expected run time at the speed of the server. */
  readonly runMs: number;
  /** Of failures, a busy daemon and a cold start; in average run times. */
  readonly penalty: number;
  /** Estimated number of calls that run or wait there. */
  readonly calls: number;
  /** Share of the selections that consider it. */
  readonly sampledShare: number;
  /** Share of the requests that would be sent there. */
  readonly chosenShare: number;
  /** Null if requests are sent there. */
  readonly exclusion: CandidateExclusionName | null;
}

/** A generator whose result can be fixed. */
class FixableRandom implements runtime.RandomSource {
  isFixed = false;

  constructor(private readonly source: runtime.RandomSource) {}

  next(): number {
    return this.isFixed ? MEAN_DRAW : this.source.next();
  }
}

/**
 * Selects targets like the balancer from which it was created, with the same
 * knowledge, and records why. It changes no state of the balancer and draws no
 * numbers from its generator. Used for one preview.
 */
export class TargetPreview extends targetBalancer.TargetBalancer {
  private readonly compared = new Map<string, number>();

  private constructor(
    source: targetBalancer.TargetBalancer,
    private readonly draws: FixableRandom,
  ) {
    const cold = source.cold?.copy(draws) ?? null;
    super(source.ownAddress, source.ownZone, draws, cold, source.states);
  }

  /** Previews the selection of a target; `random` is used by nothing else. */
  static of(
    source: targetBalancer.TargetBalancer,
    random: runtime.RandomSource,
  ): TargetPreview {
    return new TargetPreview(source, new FixableRandom(random));
  }

  /**
   * Returns the candidates, those that get most requests first. See `choose`
   * for `mayTry`.
   */
  preview(
    candidates: readonly directory.BackendServer[],
    coldUntilMs: (server: directory.BackendServer) => number,
    nowMs: number,
    work: targetState.RequestWork,
    mayTry: boolean,
  ): CandidatePreview[] {
    const chosen = new Map<string, number>();
    for (let draw = 0; draw < DRAWS; draw++) {
      const server = this.choose(
        candidates,
        NONE,
        coldUntilMs,
        nowMs,
        work,
        mayTry,
      );
      if (server) increment(chosen, server.instance);
    }
    const leavesZone = candidates.some(
      ({availabilityZone, instance}) =>
        availabilityZone !== this.ownZone && chosen.has(instance),
    );
    const search: zoneRule.Search = {
      candidates,
      excluded: NONE,
      coldUntilMs,
      nowMs,
      work,
      // The cost is that of a regular request.
      mayTry: false,
      reachable: true,
    };
    const shareOf = (counts: ReadonlyMap<string, number>, instance: string) =>
      Math.min(1, (counts.get(instance) ?? 0) / DRAWS);
    return candidates
      .map(server => {
        const {instance} = server;
        const chosenShare = shareOf(chosen, instance);
        const sampledShare = shareOf(this.compared, instance);
        const {costMs, penalty, waitMs} = this.costOf(server, search);
        const state = this.states.get(instance);
        return {
          server,
          costMs,
          waitMs,
          runMs: work.workMs / this.speed(instance, nowMs),
          penalty,
          calls: state?.calls(nowMs) ?? 0,
          sampledShare,
          chosenShare,
          exclusion:
            chosenShare > 0
              ? null
              : this.exclusionOf(
                  server,
                  penalty,
                  sampledShare,
                  leavesZone,
                  nowMs,
                ),
        };
      })
      .sort(
        (left, right) =>
          right.chosenShare - left.chosenShare || left.costMs - right.costMs,
      );
  }

  protected override compare(
    selection: zoneRule.Selection,
    server: directory.BackendServer,
    state: targetState.TargetState | undefined,
    search: zoneRule.Search,
    sampled: number,
  ): void {
    increment(this.compared, server.instance);
    super.compare(selection, server, state, search, sampled);
  }

  private costOf(
    server: directory.BackendServer,
    search: zoneRule.Search,
  ): zoneRule.Selection {
    const selection = zoneRule.emptySelection();
    this.draws.isFixed = true;
    super.compare(
      selection,
      server,
      this.states.get(server.instance),
      search,
      1,
    );
    this.draws.isFixed = false;
    return selection;
  }

  private exclusionOf(
    server: directory.BackendServer,
    penalty: number,
    sampledShare: number,
    leavesZone: boolean,
    nowMs: number,
  ): CandidateExclusionName {
    const state = this.states.get(server.instance);
    if (state?.leaving) return 'leaving';
    if (state && nowMs < state.unreachableUntilMs) return 'connectionDown';
    if (penalty >= targetPenalty.COLD_EXHAUSTED_PENALTY) return 'cold';
    // Compared with the best of the own zone, it may still be refused for its
    // zone.
    if (!leavesZone && server.availabilityZone !== this.ownZone) {
      return 'otherZone';
    }
    return sampledShare > 0 ? 'dearer' : 'outOfSample';
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
