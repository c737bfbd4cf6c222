import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';

/** How an attempt at a target ended, as its sender saw it. */
export type TargetOutcome =
  /** A complete answer that is no failure of the backend server. */
  | 'succeeded'
  /** A failure, a broken answer or a lost connection. */
  | 'failed'
  /** Refused without having run. */
  | 'refused'
  /** Given up by the sender; says nothing of the target. */
  | 'cancelled';

/** Load share that a target of another availability zone must be below. */
const REMOTE_ZONE_PENALTY = 0.25;

/** Load share that a target of another host must be below. */
const REMOTE_HOST_PENALTY = 0.1;

/**
 * Spread of the cost of a busy daemon. Senders know it some time later; with
 * one cost for all they would move together from one target to the next.
 */
const BUSY_SPREAD = 0.5;

/** Load share that is added while a target is slow after its start. */
const COLD_PENALTY = 0.3;

/**
 * Weight of the failure rate against the load share. A request needs several
 * nested calls, so a target that loses a few in a hundred is worse than one
 * of another availability zone.
 */
const FAILURE_WEIGHT = 8;

/**
 * Part of the difference by which one outcome moves the failure rate; a
 * single failure weighs less than another availability zone.
 */
const FAILURE_STEP = 0.02;

/** The failure rate halves in this time without outcomes, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** A host that could not be reached is avoided for this long. */
const UNREACHABLE_MS = 400;

/** A reported load is not used after this time, in milliseconds. */
const LOAD_LIFETIME_MS = 1_000;

/** Targets compared for one request; more would make all senders agree. */
const MAXIMUM_COMPARED = 5;

/** Breaks ties, so that senders with equal reports do not all agree. */
const JITTER = 0.03;

interface TargetRecord {
  ownRunning: number;
  reportedLoad: number;
  reportedBusyShare: number;
  reportedAtMs: number;
  sentSinceReport: number;
  failureRate: number;
  failureAtMs: number;
  unreachableUntilMs: number;
  leaving: boolean;
}

/**
 * What this process has seen of each target, and the choice among them: the
 * lowest load share, with penalties for another host or availability zone, a
 * busy daemon, a cold start and recent failures.
 */
export class TargetBoard {
  private readonly records = new Map<string, TargetRecord>();

  constructor(
    private readonly ownAddress: string,
    private readonly ownZone: string,
    private readonly random: runtime.RandomSource,
  ) {}

  /** Returns null when no candidate is usable. */
  choose(
    candidates: readonly directory.BackendServer[],
    excluded: ReadonlySet<string>,
    coldUntilMs: (server: directory.BackendServer) => number,
    nowMs: number,
  ): directory.BackendServer | null {
    const usable = candidates.filter(server => {
      if (excluded.has(server.instance)) return false;
      const record = this.records.get(server.instance);
      return !record?.leaving;
    });
    const reachable = usable.filter(server => {
      const record = this.records.get(server.instance);
      return !record || nowMs >= record.unreachableUntilMs;
    });
    // When none seems reachable, any attempt is better than a refusal.
    const pool = this.sample(reachable.length > 0 ? reachable : usable);
    let best: directory.BackendServer | null = null;
    let bestCost = Infinity;
    for (const server of pool) {
      const cost = this.cost(server, coldUntilMs(server), nowMs);
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    return best;
  }

  /** The share of a target's slots that is thought to be in use. */
  loadShare(server: directory.BackendServer, nowMs: number): number {
    const record = this.records.get(server.instance);
    if (!record) return 0;
    const fresh = nowMs - record.reportedAtMs < LOAD_LIFETIME_MS;
    const running = fresh
      ? Math.max(record.reportedLoad + record.sentSinceReport, 0)
      : record.ownRunning;
    return Math.max(running, record.ownRunning) / Math.max(1, server.slots);
  }

  noteStart(instance: string): void {
    const record = this.record(instance);
    record.ownRunning++;
    record.sentSinceReport++;
  }

  noteEnd(
    instance: string,
    outcome: TargetOutcome,
    load: protocol.ReportedLoad | undefined,
    nowMs: number,
  ): void {
    const record = this.record(instance);
    record.ownRunning = Math.max(0, record.ownRunning - 1);
    if (load) {
      record.reportedLoad = load.running + load.waiting;
      record.reportedBusyShare = load.busyShare ?? 0;
      record.reportedAtMs = nowMs;
      record.sentSinceReport = 0;
    }
    switch (outcome) {
      case 'succeeded':
        this.moveFailureRate(record, 0, nowMs);
        return;
      case 'failed':
        this.moveFailureRate(record, 1, nowMs);
        return;
      case 'refused':
      case 'cancelled':
        return;
    }
  }

  noteUnreachable(instance: string, nowMs: number): void {
    this.record(instance).unreachableUntilMs = nowMs + UNREACHABLE_MS;
  }

  /** The target takes no further requests until it is withdrawn. */
  noteLeaving(instance: string, leaving: boolean): void {
    this.record(instance).leaving = leaving;
  }

  /** Forgets targets that are no longer listed and run nothing. */
  retain(isListed: (instance: string) => boolean): void {
    for (const [instance, record] of this.records) {
      if (record.ownRunning === 0 && !isListed(instance)) {
        this.records.delete(instance);
      }
    }
  }

  private cost(
    server: directory.BackendServer,
    coldUntilMs: number,
    nowMs: number,
  ): number {
    let cost = this.loadShare(server, nowMs) + this.random.next() * JITTER;
    if (server.hostAddress !== this.ownAddress) cost += REMOTE_HOST_PENALTY;
    if (server.availabilityZone !== this.ownZone) cost += REMOTE_ZONE_PENALTY;
    if (nowMs < coldUntilMs) cost += COLD_PENALTY;
    const record = this.records.get(server.instance);
    if (record) {
      cost += FAILURE_WEIGHT * this.failureRate(record, nowMs);
      cost += this.busyCost(record, nowMs);
    }
    return cost;
  }

  /** Hardly counts up to half the time, as waiting begins beyond it. */
  private busyCost(record: TargetRecord, nowMs: number): number {
    if (nowMs - record.reportedAtMs >= LOAD_LIFETIME_MS) return 0;
    const spread = 1 + BUSY_SPREAD * (this.random.next() - 0.5);
    return record.reportedBusyShare ** 3 * spread;
  }

  /** A random part of the candidates, those of the own zone first. */
  private sample(
    candidates: readonly directory.BackendServer[],
  ): readonly directory.BackendServer[] {
    if (candidates.length <= MAXIMUM_COMPARED) return candidates;
    const shuffled = [...candidates];
    for (let index = 0; index < shuffled.length; index++) {
      const other =
        index + Math.floor(this.random.next() * (shuffled.length - index));
      [shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
    }
    const local = shuffled.filter(
      server => server.availabilityZone === this.ownZone,
    );
    const remote = shuffled.filter(
      server => server.availabilityZone !== this.ownZone,
    );
    const localCount = Math.min(local.length, MAXIMUM_COMPARED - 2);
    return [
      ...local.slice(0, localCount),
      ...remote.slice(0, MAXIMUM_COMPARED - localCount),
    ];
  }

  private failureRate(record: TargetRecord, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - record.failureAtMs);
    return record.failureRate * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
  }

  private moveFailureRate(
    record: TargetRecord,
    toward: number,
    nowMs: number,
  ): void {
    const rate = this.failureRate(record, nowMs);
    record.failureRate = rate + FAILURE_STEP * (toward - rate);
    record.failureAtMs = nowMs;
  }

  private record(instance: string): TargetRecord {
    let record = this.records.get(instance);
    if (!record) {
      record = {
        ownRunning: 0,
        reportedLoad: 0,
        reportedBusyShare: 0,
        reportedAtMs: -Infinity,
        sentSinceReport: 0,
        failureRate: 0,
        failureAtMs: 0,
        unreachableUntilMs: -Infinity,
        leaving: false,
      };
      this.records.set(instance, record);
    }
    return record;
  }
}
