/** Time without a report after which a host counts as silent. */
const REPORT_TIMEOUT_MS = 1_200;

/** Grace period for the first report of a newly listed host. */
const JOIN_GRACE_MS = 2_000;

/**
 * Tracks the hosts of the fleet and which of them have reported recently. The
 * part of a limit that this host may use is reduced in proportion to the hosts
 * that are silent.
 */
export class FleetMembers {
  private readonly lastReportMs = new Map<string, number>();
  private readonly listedSinceMs = new Map<string, number>();
  private hasHostList = false;
  /** Cached result of `reportingShare`, which is called for every request. */
  private cachedShare: {readonly atMs: number; readonly share: number} | null =
    null;

  constructor(private readonly ownHost: string) {}

  /** Replaces the list of hosts. This host always counts as listed. */
  setListed(hosts: ReadonlySet<string>, nowMs: number): void {
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
    for (const host of this.lastReportMs.keys()) {
      if (!hosts.has(host)) this.lastReportMs.delete(host);
    }
  }

  noteReport(host: string, nowMs: number): void {
    if (!this.listedSinceMs.has(host)) return;
    this.lastReportMs.set(host, nowMs);
    this.cachedShare = null;
  }

  /** Number of listed hosts, including this one. */
  get count(): number {
    return this.listedSinceMs.size + (this.isOwnHostListed ? 0 : 1);
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
    const listedMs = this.listedSinceMs.get(host);
    if (listedMs === undefined) return false;
    const reportMs = this.lastReportMs.get(host);
    if (reportMs !== undefined) return nowMs - reportMs >= REPORT_TIMEOUT_MS;
    return nowMs - listedMs >= JOIN_GRACE_MS;
  }

  isListed(host: string): boolean {
    return this.listedSinceMs.has(host);
  }

  /**
   * Returns the fraction of listed hosts that report to this host, including
   * itself.
   */
  reportingShare(nowMs: number): number {
    if (this.cachedShare?.atMs === nowMs) return this.cachedShare.share;
    const {count} = this;
    const share = count === 0 ? 1 : (count - this.silentCount(nowMs)) / count;
    this.cachedShare = {atMs: nowMs, share};
    return share;
  }

  private get isOwnHostListed(): boolean {
    return this.listedSinceMs.has(this.ownHost);
  }
}
