/** Time without a report after which a host of a small fleet counts as silent. */
const MINIMUM_REPORT_TIMEOUT_MS = 1_200;

/** Report intervals of a large fleet after which a host counts as silent. */
const REPORT_TIMEOUT_INTERVALS = 2.2;

/** Maximum report rate of a host, regardless of the size of the fleet. */
const MAXIMUM_REPORTS_PER_SECOND = 200;

/** Grace period for the first report of a newly listed host. */
const JOIN_GRACE_MS = 2_000;

/** Time for which the share of reporting hosts is not computed again. */
const SHARE_CACHE_MS = 20;

/**
 * Tracks the hosts of the fleet and which of them have reported recently. The
 * part of a limit that this host may use is reduced in proportion to the hosts
 * that are silent.
 *
 * A host is listed through its backend server, but its daemon may run before
 * the list names it and for longer than the list does. Such a host belongs to
 * the fleet while it reports.
 */
export class FleetMembers {
  private readonly lastReportMs = new Map<string, number>();
  private readonly listedSinceMs = new Map<string, number>();
  /** Hosts that report and are not listed. */
  private readonly unlisted = new Set<string>();
  private hasHostList = false;
  /** Cached result of `reportingShare`, which visits every host. */
  private cachedShare: {readonly atMs: number; readonly share: number} | null =
    null;

  constructor(private readonly ownHost: string) {}

  /**
   * Replaces the list of hosts. This host always counts as listed. Returns the
   * other hosts that were not listed before.
   */
  setListed(hosts: ReadonlySet<string>, nowMs: number): string[] {
    const added = [...hosts].filter(
      host => host !== this.ownHost && !this.listedSinceMs.has(host),
    );
    // After a restart of this process the use of other hosts is unknown, so
    // they count as silent until they report. A host that is listed later gets
    // the grace period.
    const sinceMs = this.hasHostList ? nowMs : -Infinity;
    this.hasHostList = true;
    this.cachedShare = null;
    for (const host of hosts) {
      if (!this.listedSinceMs.has(host)) this.listedSinceMs.set(host, sinceMs);
    }
    for (const host of this.listedSinceMs.keys()) {
      if (!hosts.has(host)) this.listedSinceMs.delete(host);
    }
    for (const host of this.lastReportMs.keys()) this.updateUnlisted(host);
    this.removeSilentUnlisted(nowMs);
    return added;
  }

  noteReport(host: string, nowMs: number): void {
    this.lastReportMs.set(host, nowMs);
    if (!this.listedSinceMs.has(host)) this.updateUnlisted(host);
  }

  /** Forgets the hosts that are neither listed nor report any longer. */
  removeSilentUnlisted(nowMs: number): void {
    for (const host of this.unlisted) {
      if (!this.isSilent(host, nowMs)) continue;
      this.unlisted.delete(host);
      this.lastReportMs.delete(host);
      this.cachedShare = null;
    }
  }

  /** Hosts that are not listed although their daemons report. */
  get unlistedHosts(): ReadonlySet<string> {
    return this.unlisted;
  }

  /** Number of hosts of the fleet, including this one. */
  get count(): number {
    const others = this.listedSinceMs.size + this.unlisted.size;
    return others + (this.isOwnHostListed ? 0 : 1);
  }

  /**
   * Minimum interval of the reports that a host sends to each other one, in
   * milliseconds. It bounds the reports that each host sends and receives.
   */
  get minimumReportIntervalMs(): number {
    return (this.count * 1_000) / MAXIMUM_REPORTS_PER_SECOND;
  }

  /** Number of listed hosts that have not reported recently. */
  silentCount(nowMs: number): number {
    let silent = 0;
    for (const host of this.listedSinceMs.keys()) {
      if (this.isSilent(host, nowMs)) silent++;
    }
    return silent;
  }

  isSilent(host: string, nowMs: number): boolean {
    if (host === this.ownHost) return false;
    const reportMs = this.lastReportMs.get(host);
    if (reportMs !== undefined) return nowMs - reportMs >= this.reportTimeoutMs;
    const listedMs = this.listedSinceMs.get(host);
    return listedMs !== undefined && nowMs - listedMs >= JOIN_GRACE_MS;
  }

  /** Whether a host is listed or reports. */
  isMember(host: string): boolean {
    return this.listedSinceMs.has(host) || this.unlisted.has(host);
  }

  /**
   * Returns the fraction of listed hosts that report to this host, including
   * itself.
   */
  reportingShare(nowMs: number): number {
    const cached = this.cachedShare;
    if (cached && nowMs - cached.atMs < SHARE_CACHE_MS) return cached.share;
    const share = this.currentReportingShare(nowMs);
    this.cachedShare = {atMs: nowMs, share};
    return share;
  }

  /** Computes the same from all hosts, without a cache. */
  currentReportingShare(nowMs: number): number {
    const {count} = this;
    return count === 0 ? 1 : (count - this.silentCount(nowMs)) / count;
  }

  private updateUnlisted(host: string): void {
    if (host === this.ownHost) return;
    if (this.listedSinceMs.has(host)) this.unlisted.delete(host);
    else this.unlisted.add(host);
    this.cachedShare = null;
  }

  private get reportTimeoutMs(): number {
    return Math.max(
      MINIMUM_REPORT_TIMEOUT_MS,
      this.minimumReportIntervalMs * REPORT_TIMEOUT_INTERVALS,
    );
  }

  private get isOwnHostListed(): boolean {
    return this.listedSinceMs.has(this.ownHost);
  }
}
