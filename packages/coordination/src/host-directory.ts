import type * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import * as topology from './topology.js';

/** The source that reported a host as leaving. */
export type LeavingSource = 'notice' | 'backendHealth' | 'refusal';

/**
 * How long a sign of leaving is kept while the host list does not confirm it.
 * It exceeds any drain time; a restart of the host removes the sign earlier.
 */
export const LEAVING_SIGN_TTL_MS = 600_000;

/** How long a host stays suspected after its last connection failure. */
export const SUSPICION_TTL_MS = 5_000;

/** Maximum number of delisted hosts whose addresses can still be looked up. */
const MAXIMUM_FORMER_HOSTS = 1_024;

interface LeavingSign {
  readonly incarnation: string | null;
  readonly sinceMs: number;
}

export interface HostDirectoryOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** Tracks the listed hosts and which of them are leaving or suspected. */
export class HostDirectory {
  private currentList: declaration.HostList = {revision: 0, hosts: []};
  private hostsById = new Map<string, declaration.HostEntry>();
  private readonly formerHosts = new Map<string, declaration.HostEntry>();
  private readonly leavingSigns = new Map<string, LeavingSign>();
  private readonly suspectedUntilMs = new Map<string, number>();
  private readonly listeners = new Set<() => void>();
  private liveHostsByService = new Map<
    string,
    readonly declaration.HostEntry[]
  >();
  private hostsByCell = new Map<string, readonly declaration.HostEntry[]>();

  constructor(private readonly options: HostDirectoryOptions) {}

  get hostList(): declaration.HostList {
    return this.currentList;
  }

  /** Calls `listener` after each newly adopted list. */
  onListAdopted(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Adopts a list only if its revision is higher than the current one. */
  offerList(
    list: declaration.HostList,
    nowMs: number,
  ): 'adopted' | 'older' | 'same' {
    if (list.revision < this.currentList.revision) return 'older';
    if (list.revision === this.currentList.revision) return 'same';
    const previous = this.hostsById;
    this.currentList = list;
    this.hostsById = new Map(list.hosts.map(host => [host.hostId, host]));
    for (const [hostId, host] of previous) {
      const current = this.hostsById.get(hostId);
      if (!current) this.addFormerHost(host);
      if (!current || host.state === 'leaving') {
        // The list now shows the departure, and will also show a restart of
        // the host.
        this.leavingSigns.delete(hostId);
      }
    }
    for (const hostId of this.hostsById.keys()) this.formerHosts.delete(hostId);
    this.removeExpiredSigns(nowMs);
    this.invalidateCaches();
    this.options.logger.info('host-list-adopted', {
      revision: list.revision,
      hosts: list.hosts.length,
    });
    for (const listener of this.listeners) listener();
    return 'adopted';
  }

  /** Excludes a leaving host from new work immediately. */
  noteLeaving(
    hostId: string,
    incarnation: string | null,
    source: LeavingSource,
    nowMs: number,
  ): void {
    const existing = this.leavingSigns.get(hostId);
    if (existing && existing.incarnation === incarnation) return;
    this.leavingSigns.set(hostId, {incarnation, sinceMs: nowMs});
    this.options.metrics.count(
      'host_leaving_signs_total',
      'Signs of leaving hosts by their source',
      {source},
    );
    this.invalidateCaches();
  }

  /** Cancels a departure that the host's backend server withdrew. */
  withdrawLeaving(hostId: string): void {
    if (this.leavingSigns.delete(hostId)) this.invalidateCaches();
  }

  /** Marks a host as suspected for SUSPICION_TTL_MS. */
  noteUnreachable(hostId: string, nowMs: number): void {
    const isNewSuspicion = !this.suspectedUntilMs.has(hostId);
    this.suspectedUntilMs.set(hostId, nowMs + SUSPICION_TTL_MS);
    if (isNewSuspicion) this.invalidateCaches();
  }

  /**
   * Records an answer of a host: ends suspicion, and removes a sign of leaving
   * that belongs to another incarnation.
   */
  noteReachable(hostId: string, incarnation: string): void {
    let changed = this.suspectedUntilMs.delete(hostId);
    const sign = this.leavingSigns.get(hostId);
    if (sign?.incarnation != null && sign.incarnation !== incarnation) {
      this.leavingSigns.delete(hostId);
      changed = true;
    }
    if (changed) this.invalidateCaches();
  }

  isLeaving(hostId: string, nowMs: number): boolean {
    if (this.hostsById.get(hostId)?.state === 'leaving') return true;
    const sign = this.leavingSigns.get(hostId);
    return sign !== undefined && nowMs - sign.sinceMs < LEAVING_SIGN_TTL_MS;
  }

  isSuspected(hostId: string, nowMs: number): boolean {
    return (this.suspectedUntilMs.get(hostId) ?? -Infinity) > nowMs;
  }

  /**
   * Hosts of the service that accept new work. Suspected hosts are excluded
   * unless all hosts that are not leaving are suspected.
   */
  liveHosts(service: string, nowMs: number): readonly declaration.HostEntry[] {
    this.removeExpiredSigns(nowMs);
    let hosts = this.liveHostsByService.get(service);
    if (!hosts) {
      const remaining = this.currentList.hosts.filter(
        host => host.service === service && !this.isLeaving(host.hostId, nowMs),
      );
      const reachableHosts = remaining.filter(
        host => !this.isSuspected(host.hostId, nowMs),
      );
      hosts = reachableHosts.length > 0 ? reachableHosts : remaining;
      this.liveHostsByService.set(service, hosts);
    }
    return hosts;
  }

  /** All listed hosts that are neither leaving nor suspected. */
  availableHosts(nowMs: number): readonly declaration.HostEntry[] {
    return this.currentList.hosts.filter(
      ({hostId}) =>
        !this.isLeaving(hostId, nowMs) && !this.isSuspected(hostId, nowMs),
    );
  }

  /** The listed hosts of a cell; see `topology.hostsOfCell`. */
  hostsOfCell(cellId: topology.CellId): readonly declaration.HostEntry[] {
    const name = topology.cellName(cellId);
    let hosts = this.hostsByCell.get(name);
    if (!hosts) {
      hosts = topology.hostsOfCell(this.currentList.hosts, cellId);
      this.hostsByCell.set(name, hosts);
    }
    return hosts;
  }

  cellIndexOf(hostId: string, cells: number): number {
    return topology.cellIndexOf(hostId, cells);
  }

  /** Returns a listed host or one that was recently removed from the list. */
  findHost(hostId: string): declaration.HostEntry | null {
    return this.hostsById.get(hostId) ?? this.formerHosts.get(hostId) ?? null;
  }

  /** Listed hosts that are leaving or suspected and may have returned. */
  hostsToProbe(nowMs: number): readonly declaration.HostEntry[] {
    const hostIds = new Set([
      ...this.leavingSigns.keys(),
      ...this.suspectedUntilMs.keys(),
    ]);
    return [...hostIds].flatMap(hostId => {
      const host = this.hostsById.get(hostId);
      return host &&
        (this.isLeaving(hostId, nowMs) || this.isSuspected(hostId, nowMs))
        ? [host]
        : [];
    });
  }

  private addFormerHost(host: declaration.HostEntry): void {
    this.formerHosts.set(host.hostId, host);
    const oldest = this.formerHosts.keys().next();
    if (this.formerHosts.size > MAXIMUM_FORMER_HOSTS && !oldest.done) {
      this.formerHosts.delete(oldest.value);
    }
  }

  private removeExpiredSigns(nowMs: number): void {
    let changed = false;
    for (const [hostId, sign] of this.leavingSigns) {
      if (nowMs - sign.sinceMs < LEAVING_SIGN_TTL_MS) continue;
      this.leavingSigns.delete(hostId);
      changed = true;
    }
    for (const [hostId, untilMs] of this.suspectedUntilMs) {
      if (untilMs > nowMs) continue;
      this.suspectedUntilMs.delete(hostId);
      changed = true;
    }
    if (changed) this.liveHostsByService.clear();
  }

  private invalidateCaches(): void {
    this.liveHostsByService.clear();
    this.hostsByCell.clear();
  }
}
