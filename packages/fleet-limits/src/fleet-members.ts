/** A host that has not reported for this long counts as silent. */
const SILENT_AFTER_MS = 1_200;

/** A host is not expected to report sooner after it was listed. */
const JOINING_MS = 2_000;

/**
 * The hosts of the fleet and which of them have reported lately. The part of
 * a limit that this host may use shrinks with the hosts that it cannot hear.
 */
export class FleetMembers {
  private readonly heardMs = new Map<string, number>();
  private readonly listedSinceMs = new Map<string, number>();
  private hasList = false;
  /** The last answer of `heardShare`, which is asked for with each request. */
  private lastShare: {readonly atMs: number; readonly share: number} | null =
    null;

  constructor(private readonly ownHost: string) {}

  /** Takes over the listed hosts; this host always counts as listed. */
  setListed(hosts: ReadonlySet<string>, nowMs: number): void {
    // After a start of this process nothing is known of the others' use, so
    // they count as silent until they report. A host that joins later is new.
    const sinceMs = this.hasList ? nowMs : -Infinity;
    this.hasList = true;
    this.lastShare = null;
    for (const host of hosts) {
      if (!this.listedSinceMs.has(host)) this.listedSinceMs.set(host, sinceMs);
    }
    for (const host of this.listedSinceMs.keys()) {
      if (!hosts.has(host)) this.listedSinceMs.delete(host);
    }
    for (const host of this.heardMs.keys()) {
      if (!hosts.has(host)) this.heardMs.delete(host);
    }
  }

  noteHeard(host: string, nowMs: number): void {
    if (!this.listedSinceMs.has(host)) return;
    this.heardMs.set(host, nowMs);
    this.lastShare = null;
  }

  /** Listed hosts, this one included. */
  get count(): number {
    return this.listedSinceMs.size + (this.ownListed ? 0 : 1);
  }

  /** Listed hosts that have not reported lately. */
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
    const heardMs = this.heardMs.get(host);
    if (heardMs !== undefined) return nowMs - heardMs >= SILENT_AFTER_MS;
    return nowMs - listedMs >= JOINING_MS;
  }

  isListed(host: string): boolean {
    return this.listedSinceMs.has(host);
  }

  /** The part of the listed hosts that this host hears, itself included. */
  heardShare(nowMs: number): number {
    if (this.lastShare?.atMs === nowMs) return this.lastShare.share;
    const {count} = this;
    const share = count === 0 ? 1 : (count - this.silentCount(nowMs)) / count;
    this.lastShare = {atMs: nowMs, share};
    return share;
  }

  private get ownListed(): boolean {
    return this.listedSinceMs.has(this.ownHost);
  }
}
