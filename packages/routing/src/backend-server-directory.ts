export type BackendServerPhase = 'ready' | 'draining';

/** A backend server as the platform lists it. */
export interface BackendServer {
  /** Names one start of one process. */
  readonly instance: string;
  readonly service: string;
  /** The IP address of its host, which its daemon shares. */
  readonly hostAddress: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly phase: BackendServerPhase;
  /** Time, in milliseconds, for which it was still slow when it was listed. */
  readonly coldRemainingMs: number;
  /** Unix time in milliseconds of its start; null when it is not told. */
  readonly startedAtMs: number | null;
}

interface Listed {
  readonly server: BackendServer;
  readonly firstSeenMs: number;
  readonly coldUntilMs: number;
  drainingSinceMs: number | null;
  /** Whether its absence is not yet taken as the end of the server. */
  missing: boolean;
}

/**
 * The backend servers that the platform lists, and those that are missing but
 * stay usable, because living servers register again after the platform was
 * away.
 */
export class BackendServerDirectory {
  private readonly listed = new Map<string, Listed>();
  /** Null when the list has changed since it was built. */
  private byService: ReadonlyMap<string, readonly BackendServer[]> | null =
    null;

  get size(): number {
    return this.listed.size;
  }

  /** Every usable backend server. */
  servers(): BackendServer[] {
    return [...this.listed.values()].map(entry => entry.server);
  }

  get(instance: string): BackendServer | null {
    return this.listed.get(instance)?.server ?? null;
  }

  /**
   * The backend servers of a service that are not draining. Where a newer
   * server has the address of an older one, the older one is left out.
   */
  candidates(service: string): readonly BackendServer[] {
    this.byService ??= this.build();
    return this.byService.get(service) ?? [];
  }

  /** The listed backend server at an address, the newest one first. */
  at(hostAddress: string, port: number, service: string): BackendServer | null {
    let found: Listed | null = null;
    for (const entry of this.listed.values()) {
      const {server} = entry;
      if (server.hostAddress !== hostAddress || server.port !== port) continue;
      if (server.service !== service) continue;
      if (!found || isNewer(entry, found)) found = entry;
    }
    return found?.server ?? null;
  }

  /** When an instance was first seen draining; null when it is not. */
  drainingSince(instance: string): number | null {
    return this.listed.get(instance)?.drainingSinceMs ?? null;
  }

  /** Until when an instance is slow after its start. */
  coldUntil(instance: string): number {
    return this.listed.get(instance)?.coldUntilMs ?? -Infinity;
  }

  firstSeen(instance: string): number | null {
    return this.listed.get(instance)?.firstSeenMs ?? null;
  }

  put(server: BackendServer, nowMs: number): void {
    const known = this.listed.get(server.instance);
    const draining = server.phase === 'draining';
    this.listed.set(server.instance, {
      server,
      firstSeenMs: known?.firstSeenMs ?? nowMs,
      coldUntilMs: nowMs + server.coldRemainingMs,
      drainingSinceMs: draining ? (known?.drainingSinceMs ?? nowMs) : null,
      missing: false,
    });
    this.byService = null;
  }

  remove(instance: string): void {
    if (this.listed.delete(instance)) this.byService = null;
  }

  /** Keeps an entry that has vanished until `removeMissing`. */
  markMissing(instance: string): void {
    const entry = this.listed.get(instance);
    if (entry) entry.missing = true;
  }

  /** Removes what is missing; returns the instances. */
  removeMissing(): string[] {
    const removed: string[] = [];
    for (const [instance, entry] of this.listed) {
      if (!entry.missing) continue;
      this.listed.delete(instance);
      removed.push(instance);
    }
    if (removed.length > 0) this.byService = null;
    return removed;
  }

  private build(): ReadonlyMap<string, readonly BackendServer[]> {
    const newest = new Map<string, Listed>();
    for (const entry of this.listed.values()) {
      const address = `${entry.server.hostAddress}:${entry.server.port}`;
      const other = newest.get(address);
      if (!other || isNewer(entry, other)) newest.set(address, entry);
    }
    const byService = new Map<string, BackendServer[]>();
    for (const {server} of newest.values()) {
      if (server.phase !== 'ready') continue;
      const servers = byService.get(server.service);
      if (servers) servers.push(server);
      else byService.set(server.service, [server]);
    }
    return byService;
  }
}

/** Of two entries with one address, the older one names no living server. */
function isNewer(left: Listed, right: Listed): boolean {
  const leftAtMs = left.server.startedAtMs;
  const rightAtMs = right.server.startedAtMs;
  if (leftAtMs !== null && rightAtMs !== null && leftAtMs !== rightAtMs) {
    return leftAtMs > rightAtMs;
  }
  return left.firstSeenMs >= right.firstSeenMs;
}
