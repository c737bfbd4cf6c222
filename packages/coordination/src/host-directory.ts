import type * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import * as topology from './topology.js';

/** What showed that a host is leaving. */
export type LeavingSource = 'notice' | 'backendHealth' | 'refusal';

/**
 * How long a sign of leaving stays without the list confirming it. It is
 * longer than any drain; a restart under the same host id ends it earlier.
 */
export const LEAVING_SIGN_MS = 600_000;

/** How long a host stays suspected without a new failure. */
export const SUSPICION_MS = 5_000;

/** Hosts that left the list and whose address may still be asked for. */
const MAXIMUM_FORMER_HOSTS = 1_024;

interface LeavingSign {
  readonly incarnation: string | null;
  readonly sinceMs: number;
}

export interface HostDirectoryOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** The known hosts, which of them are leaving, and which are suspected. */
export class HostDirectory {
  private list: declaration.HostList = {revision: 0, hosts: []};
  private entries = new Map<string, declaration.HostEntry>();
  private readonly former = new Map<string, declaration.HostEntry>();
  private readonly leavingSigns = new Map<string, LeavingSign>();
  private readonly suspectedUntilMs = new Map<string, number>();
  private readonly listeners = new Set<() => void>();
  private byService = new Map<string, readonly declaration.HostEntry[]>();
  private byCell = new Map<string, readonly declaration.HostEntry[]>();

  constructor(private readonly options: HostDirectoryOptions) {}

  get hostList(): declaration.HostList {
    return this.list;
  }

  /** Calls `listener` after each adopted list. */
  onList(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Takes a published list; an older one never replaces a newer one. */
  offerList(
    list: declaration.HostList,
    nowMs: number,
  ): 'adopted' | 'older' | 'same' {
    if (list.revision < this.list.revision) return 'older';
    if (list.revision === this.list.revision) return 'same';
    const previous = this.entries;
    this.list = list;
    this.entries = new Map(list.hosts.map(host => [host.hostId, host]));
    for (const [hostId, host] of previous) {
      const current = this.entries.get(hostId);
      if (!current) this.rememberFormer(host);
      if (!current || host.state === 'leaving') {
        // The list has followed the departure, so it tells of a restart too.
        this.leavingSigns.delete(hostId);
      }
    }
    for (const hostId of this.entries.keys()) this.former.delete(hostId);
    this.forgetOldSigns(nowMs);
    this.forgetCaches();
    this.options.logger.info('host-list-adopted', {
      revision: list.revision,
      hosts: list.hosts.length,
    });
    for (const listener of this.listeners) listener();
    return 'adopted';
  }

  /** Takes a sign that the host is leaving; it is excluded at once. */
  noteLeaving(
    hostId: string,
    incarnation: string | null,
    source: LeavingSource,
    nowMs: number,
  ): void {
    const known = this.leavingSigns.get(hostId);
    if (known && known.incarnation === incarnation) return;
    this.leavingSigns.set(hostId, {incarnation, sinceMs: nowMs});
    this.options.metrics.count(
      'host_leaving_signs_total',
      'Signs of leaving hosts by their source',
      {source},
    );
    this.forgetCaches();
  }

  /** The host's backend server reports that it stays after all. */
  withdrawLeaving(hostId: string): void {
    if (this.leavingSigns.delete(hostId)) this.forgetCaches();
  }

  noteUnreachable(hostId: string, nowMs: number): void {
    const isNew = !this.suspectedUntilMs.has(hostId);
    this.suspectedUntilMs.set(hostId, nowMs + SUSPICION_MS);
    if (isNew) this.forgetCaches();
  }

  /** The host answered under this incarnation. */
  noteReachable(hostId: string, incarnation: string): void {
    let changed = this.suspectedUntilMs.delete(hostId);
    const sign = this.leavingSigns.get(hostId);
    if (sign?.incarnation != null && sign.incarnation !== incarnation) {
      this.leavingSigns.delete(hostId);
      changed = true;
    }
    if (changed) this.forgetCaches();
  }

  isLeaving(hostId: string, nowMs: number): boolean {
    if (this.entries.get(hostId)?.state === 'leaving') return true;
    const sign = this.leavingSigns.get(hostId);
    return sign !== undefined && nowMs - sign.sinceMs < LEAVING_SIGN_MS;
  }

  isSuspected(hostId: string, nowMs: number): boolean {
    return (this.suspectedUntilMs.get(hostId) ?? -Infinity) > nowMs;
  }

  /**
   * Hosts of the service that take new work. Suspected hosts are left out
   * unless all others are suspected too.
   */
  liveHosts(service: string, nowMs: number): readonly declaration.HostEntry[] {
    this.forgetOldSigns(nowMs);
    let hosts = this.byService.get(service);
    if (!hosts) {
      const staying = this.list.hosts.filter(
        host => host.service === service && !this.isLeaving(host.hostId, nowMs),
      );
      const reachable = staying.filter(
        host => !this.isSuspected(host.hostId, nowMs),
      );
      hosts = reachable.length > 0 ? reachable : staying;
      this.byService.set(service, hosts);
    }
    return hosts;
  }

  /** Every host that is neither leaving nor suspected. */
  stayingHosts(nowMs: number): readonly declaration.HostEntry[] {
    return this.list.hosts.filter(
      ({hostId}) =>
        !this.isLeaving(hostId, nowMs) && !this.isSuspected(hostId, nowMs),
    );
  }

  /** The listed hosts of a cell; see `topology.hostsOfCell`. */
  hostsOfCell(place: topology.CellPlace): readonly declaration.HostEntry[] {
    const name = topology.cellName(place);
    let hosts = this.byCell.get(name);
    if (!hosts) {
      hosts = topology.hostsOfCell(this.list.hosts, place);
      this.byCell.set(name, hosts);
    }
    return hosts;
  }

  cellOf(hostId: string, cells: number): number {
    return topology.cellOf(hostId, cells);
  }

  /** A listed host, or one that left the list lately. */
  entry(hostId: string): declaration.HostEntry | null {
    return this.entries.get(hostId) ?? this.former.get(hostId) ?? null;
  }

  /** Hosts with a sign of leaving or under suspicion, for probing. */
  doubtfulHosts(nowMs: number): readonly declaration.HostEntry[] {
    const hostIds = new Set([
      ...this.leavingSigns.keys(),
      ...this.suspectedUntilMs.keys(),
    ]);
    return [...hostIds].flatMap(hostId => {
      const host = this.entries.get(hostId);
      return host &&
        (this.isLeaving(hostId, nowMs) || this.isSuspected(hostId, nowMs))
        ? [host]
        : [];
    });
  }

  private rememberFormer(host: declaration.HostEntry): void {
    this.former.set(host.hostId, host);
    const oldest = this.former.keys().next();
    if (this.former.size > MAXIMUM_FORMER_HOSTS && !oldest.done) {
      this.former.delete(oldest.value);
    }
  }

  private forgetOldSigns(nowMs: number): void {
    let changed = false;
    for (const [hostId, sign] of this.leavingSigns) {
      if (nowMs - sign.sinceMs < LEAVING_SIGN_MS) continue;
      this.leavingSigns.delete(hostId);
      changed = true;
    }
    for (const [hostId, untilMs] of this.suspectedUntilMs) {
      if (untilMs > nowMs) continue;
      this.suspectedUntilMs.delete(hostId);
      changed = true;
    }
    if (changed) this.byService.clear();
  }

  private forgetCaches(): void {
    this.byService.clear();
    this.byCell.clear();
  }
}
