/** Result of one read of the platform. */
export interface PlatformRead {
  readonly hosts: readonly string[];
  readonly revision: number;
}

/**
 * Models the configuration service and the published host list. A stale
 * platform returns the state before the latest change.
 */
export class Platform {
  private current: PlatformRead;
  private previous: PlatformRead;
  private mode: 'fresh' | 'stale' | 'down' = 'fresh';
  private faultUntilMs = -Infinity;

  constructor(hosts: readonly string[]) {
    this.current = {hosts, revision: 1};
    this.previous = this.current;
  }

  /** Ends the fault when its time has passed. */
  advance(nowMs: number): void {
    if (nowMs >= this.faultUntilMs) this.mode = 'fresh';
  }

  injectFault(mode: 'stale' | 'down', untilMs: number): void {
    this.mode = mode;
    this.faultUntilMs = untilMs;
  }

  read(): PlatformRead | null {
    if (this.mode === 'down') return null;
    return this.mode === 'stale' ? this.previous : this.current;
  }

  publishRevision(): void {
    this.replaceCurrent({...this.current, revision: this.current.revision + 1});
  }

  /** Returns the host list with one host added and another removed. */
  hostsAfterChange(added: string | null, removed: string): string[] {
    const hosts = this.current.hosts.filter(host => host !== removed);
    if (added !== null && !hosts.includes(added)) hosts.push(added);
    return hosts;
  }

  publishHosts(hosts: readonly string[]): void {
    this.replaceCurrent({...this.current, hosts});
  }

  private replaceCurrent(next: PlatformRead): void {
    this.previous = this.current;
    this.current = next;
  }
}
