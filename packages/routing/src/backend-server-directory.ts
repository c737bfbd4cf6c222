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
  /** Set while an absence is not yet taken as the end of the server. */
  missingSinceMs: number | null;
}

/**
 * The backend servers that the platform lists. An entry that vanishes while
 * the platform is disturbed stays usable until `absenceGraceMs` after the
 * platform's return, because living servers register again within that time.
 */
export class BackendServerDirectory {
  private readonly listed = new Map<string, Listed>();
  private byService = new Map<string, BackendServer[]>();

  constructor(private readonly absenceGraceMs: number) {}

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
      missingSinceMs: null,
    });
    this.rebuild();
  }

  remove(instance: string): void {
    if (this.listed.delete(instance)) this.rebuild();
  }

  /** Keeps an entry that has vanished until the grace time has passed. */
  markMissing(instance: string, nowMs: number): void {
    const entry = this.listed.get(instance);
    if (entry) entry.missingSinceMs ??= nowMs;
  }

  /**
   * Takes over a whole list. With `disturbed`, entries that are not in it are
   * kept until `expireMissing` finds them absent for the grace time.
   */
  replaceAll(
    servers: readonly BackendServer[],
    disturbed: boolean,
    nowMs: number,
  ): void {
    const present = new Set(servers.map(server => server.instance));
    for (const [instance, entry] of this.listed) {
      if (present.has(instance)) continue;
      if (disturbed) entry.missingSinceMs ??= nowMs;
      else this.listed.delete(instance);
    }
    for (const server of servers) this.put(server, nowMs);
    this.rebuild();
  }

  /** Removes what has been absent for the grace time; returns what it was. */
  expireMissing(nowMs: number): string[] {
    const expired: string[] = [];
    for (const [instance, entry] of this.listed) {
      if (entry.missingSinceMs === null) continue;
      if (nowMs - entry.missingSinceMs < this.absenceGraceMs) continue;
      this.listed.delete(instance);
      expired.push(instance);
    }
    if (expired.length > 0) this.rebuild();
    return expired;
  }

  private rebuild(): void {
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
    this.byService = byService;
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
