export type BackendServerPhase = 'ready' | 'draining';

/** A backend server as listed by the platform. */
export interface BackendServer {
  /** Identifies one start of a process. */
  readonly instance: string;
  readonly service: string;
  /**
   * The IP address of its host, which is also the address of the host's daemon.
   */
  readonly hostAddress: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly phase: BackendServerPhase;
  /** Remaining cold start time, in milliseconds, when the server was listed. */
  readonly coldRemainingMs: number;
  /** Start time as Unix time in milliseconds; null if unknown. */
  readonly startedAtMs: number | null;
}

interface DirectoryEntry {
  readonly server: BackendServer;
  readonly firstSeenMs: number;
  readonly coldUntilMs: number;
  drainingSinceMs: number | null;
  /**
   * Whether the server is no longer listed, but its absence does not yet count
   * as final.
   */
  missing: boolean;
}

/**
 * Directory of the backend servers that the platform lists. Servers that are
 * missing from the list remain usable until `removeMissing` is called, because
 * running servers register again after an outage of the platform.
 */
export class BackendServerDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();
  /** Null if the entries have changed since the index was built. */
  private byService: ReadonlyMap<string, readonly BackendServer[]> | null =
    null;
  private evacuatedZones: ReadonlySet<string> = new Set();

  get size(): number {
    return this.entries.size;
  }

  /** Returns all usable backend servers. */
  servers(): BackendServer[] {
    return [...this.entries.values()].map(entry => entry.server);
  }

  /** Returns the host of each usable backend server. */
  hosts(): Array<{address: string; availabilityZone: string}> {
    return this.servers().map(({hostAddress, availabilityZone}) => ({
      address: hostAddress,
      availabilityZone,
    }));
  }

  get(instance: string): BackendServer | null {
    return this.entries.get(instance)?.server ?? null;
  }

  /**
   * Returns the backend servers of a service that are not draining and whose
   * zone is not evacuated. If several servers have the same address, only the
   * newest one is included.
   */
  candidates(service: string): readonly BackendServer[] {
    this.byService ??= this.indexByService();
    return this.byService.get(service) ?? [];
  }

  /** Returns the candidates of all services. */
  allCandidates(): BackendServer[] {
    this.byService ??= this.indexByService();
    return [...this.byService.values()].flat();
  }

  /** Sets the zones whose backend servers get no requests. */
  setEvacuatedZones(zones: ReadonlySet<string>): void {
    this.evacuatedZones = zones;
    this.byService = null;
  }

  /**
   * Returns the newest backend server of a service that is listed at an
   * address.
   */
  findByAddress(
    hostAddress: string,
    port: number,
    service: string,
  ): BackendServer | null {
    let newest: DirectoryEntry | null = null;
    for (const entry of this.entries.values()) {
      const {server} = entry;
      if (server.hostAddress !== hostAddress || server.port !== port) continue;
      if (server.service !== service) continue;
      if (!newest || isNewer(entry, newest)) newest = entry;
    }
    return newest?.server ?? null;
  }

  /** Returns when an instance was first seen draining, or null if it is not. */
  drainingSinceMs(instance: string): number | null {
    return this.entries.get(instance)?.drainingSinceMs ?? null;
  }

  /** Returns the end of the cold start of an instance. */
  coldUntilMs(instance: string): number {
    return this.entries.get(instance)?.coldUntilMs ?? -Infinity;
  }

  firstSeenMs(instance: string): number | null {
    return this.entries.get(instance)?.firstSeenMs ?? null;
  }

  put(server: BackendServer, nowMs: number): void {
    const known = this.entries.get(server.instance);
    const draining = server.phase === 'draining';
    this.entries.set(server.instance, {
      server,
      firstSeenMs: known?.firstSeenMs ?? nowMs,
      coldUntilMs: nowMs + server.coldRemainingMs,
      drainingSinceMs: draining ? (known?.drainingSinceMs ?? nowMs) : null,
      missing: false,
    });
    this.byService = null;
  }

  remove(instance: string): void {
    if (this.entries.delete(instance)) this.byService = null;
  }

  /**
   * Keeps an entry that is no longer listed until `removeMissing` is called.
   */
  markMissing(instance: string): void {
    const entry = this.entries.get(instance);
    if (entry) entry.missing = true;
  }

  /** Removes all missing entries and returns their instances. */
  removeMissing(): string[] {
    const removed: string[] = [];
    for (const [instance, entry] of this.entries) {
      if (!entry.missing) continue;
      this.entries.delete(instance);
      removed.push(instance);
    }
    if (removed.length > 0) this.byService = null;
    return removed;
  }

  private indexByService(): ReadonlyMap<string, readonly BackendServer[]> {
    const newest = new Map<string, DirectoryEntry>();
    for (const entry of this.entries.values()) {
      const address = `${entry.server.hostAddress}:${entry.server.port}`;
      const existing = newest.get(address);
      if (!existing || isNewer(entry, existing)) newest.set(address, entry);
    }
    const byService = new Map<string, BackendServer[]>();
    for (const {server} of newest.values()) {
      if (server.phase !== 'ready') continue;
      if (this.evacuatedZones.has(server.availabilityZone)) continue;
      const servers = byService.get(server.service);
      if (servers) servers.push(server);
      else byService.set(server.service, [server]);
    }
    return byService;
  }
}

/**
 * Returns whether the left entry is newer. Of two entries with the same
 * address, the older one refers to a process that is no longer running.
 */
function isNewer(left: DirectoryEntry, right: DirectoryEntry): boolean {
  const leftAtMs = left.server.startedAtMs;
  const rightAtMs = right.server.startedAtMs;
  if (leftAtMs !== null && rightAtMs !== null && leftAtMs !== rightAtMs) {
    return leftAtMs > rightAtMs;
  }
  return left.firstSeenMs >= right.firstSeenMs;
}
