import type * as admission from '@camphorwharf/admission';
import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as hostDirectory from './host-directory.js';
import * as targetHealth from './target-health.js';

/** Targets whose costs differ by at most this ratio count as equal. */
const EQUAL_COST_RATIO = 1.25;

/** Time after which observations of an unused target are evicted. */
const IDLE_TARGET_TTL_MS = 60_000;

export type TargetChoice =
  | {readonly kind: 'target'; readonly host: declaration.HostEntry}
  | {
      readonly kind: 'none';
      readonly reason: Extract<
        protocol.RefusalReasonName,
        'noTarget' | 'overloaded' | 'targetUnavailable'
      >;
    };

export interface TargetSelectorOptions {
  readonly availabilityZone: string;
  readonly directory: Pick<hostDirectory.HostDirectory, 'liveHosts'>;
  readonly thresholds: Pick<admission.ThresholdTable, 'passes'>;
  readonly random: runtime.RandomSource;
}

/**
 * Selects targets for packages/daemon by the power of two choices, comparing
 * this daemon's own calls in flight, latencies and failures; `TargetBalancer`
 * in packages/routing, for packages/host-daemon, compares reported load.
 * Of two targets of similar cost, one in the own availability zone is chosen.
 */
export class TargetSelector {
  private readonly health = new Map<string, targetHealth.TargetHealth>();
  private lastEvictionMs = -Infinity;

  constructor(private readonly options: TargetSelectorOptions) {}

  /** @param excluded host ids that must not be chosen for this call. */
  choose(
    service: string,
    call: Pick<protocol.CallContext, 'importance' | 'rank'>,
    nowMs: number,
    excluded: ReadonlySet<string>,
  ): TargetChoice {
    const hosts = this.options.directory
      .liveHosts(service, nowMs)
      .filter(host => !excluded.has(host.hostId));
    if (hosts.length === 0) {
      return {
        kind: 'none',
        reason: excluded.size > 0 ? 'targetUnavailable' : 'noTarget',
      };
    }
    const eligible = hosts.filter(
      host => !this.health.get(host.hostId)?.isEjected(nowMs),
    );
    // If all targets are ejected, they are tried anyway: a false ejection must
    // not stop the service.
    const candidates = eligible.length > 0 ? eligible : hosts;
    const pair = this.drawCandidates(candidates, call, nowMs);
    // Ejected targets are no fallback when all others shed the call: a target
    // that sheds may itself have been ejected by mistake.
    if (pair.length === 0) return {kind: 'none', reason: 'overloaded'};
    return {kind: 'target', host: this.selectBetter(pair, nowMs)};
  }

  /** Records that a call to the host was sent. */
  noteStart(hostId: string, nowMs: number): void {
    let health = this.health.get(hostId);
    if (!health) {
      this.evictIdle(nowMs);
      health = new targetHealth.TargetHealth();
      this.health.set(hostId, health);
    }
    health.start(nowMs);
  }

  /** Records the end of a call; must follow each `noteStart`. */
  noteEnd(
    hostId: string,
    result: targetHealth.TargetResult,
    latencyMs: number,
    nowMs: number,
  ): void {
    this.health.get(hostId)?.end(result, latencyMs, nowMs, this.options.random);
  }

  /** Draws up to two random candidates whose thresholds admit the call. */
  private drawCandidates(
    candidates: readonly declaration.HostEntry[],
    call: Pick<protocol.CallContext, 'importance' | 'rank'>,
    nowMs: number,
  ): declaration.HostEntry[] {
    const remaining = [...candidates];
    const pair: declaration.HostEntry[] = [];
    while (remaining.length > 0 && pair.length < 2) {
      const index = runtime.randomInteger(
        this.options.random,
        remaining.length,
      );
      const host = remaining[index];
      remaining[index] = remaining[remaining.length - 1];
      remaining.pop();
      if (this.options.thresholds.passes(host.hostId, call, nowMs)) {
        pair.push(host);
      }
    }
    return pair;
  }

  private selectBetter(
    pair: readonly declaration.HostEntry[],
    nowMs: number,
  ): declaration.HostEntry {
    const [first, second] = pair;
    if (!second) return first;
    const firstCost = this.cost(first, nowMs);
    const secondCost = this.cost(second, nowMs);
    const ratio = firstCost / secondCost;
    if (ratio > EQUAL_COST_RATIO) return second;
    if (ratio < 1 / EQUAL_COST_RATIO) return first;
    const {availabilityZone} = this.options;
    const firstIsLocal = first.availabilityZone === availabilityZone;
    const secondIsLocal = second.availabilityZone === availabilityZone;
    if (firstIsLocal !== secondIsLocal) return firstIsLocal ? first : second;
    return firstCost <= secondCost ? first : second;
  }

  private cost(host: declaration.HostEntry, nowMs: number): number {
    return (
      this.health.get(host.hostId) ?? new targetHealth.TargetHealth()
    ).cost(nowMs);
  }

  private evictIdle(nowMs: number): void {
    if (nowMs - this.lastEvictionMs < IDLE_TARGET_TTL_MS) return;
    this.lastEvictionMs = nowMs;
    for (const [hostId, health] of this.health) {
      if (
        health.inFlight === 0 &&
        nowMs - health.lastUsedMs > IDLE_TARGET_TTL_MS
      ) {
        this.health.delete(hostId);
      }
    }
  }
}
