/** What one read of the platform returns. */
export interface PlatformRead {
  readonly hosts: readonly string[];
  readonly revision: number;
}

/**
 * The configuration service and the published list. A stale platform returns
 * what was published one change earlier.
 */
export class Platform {
  private current: PlatformRead;
  private former: PlatformRead;
  private mode: 'fresh' | 'stale' | 'down' = 'fresh';
  private disturbedUntilMs = -Infinity;

  constructor(hosts: readonly string[]) {
    this.current = {hosts, revision: 1};
    this.former = this.current;
  }

  advance(nowMs: number): void {
    if (nowMs >= this.disturbedUntilMs) this.mode = 'fresh';
  }

  disturb(mode: 'stale' | 'down', untilMs: number): void {
    this.mode = mode;
    this.disturbedUntilMs = untilMs;
  }

  read(): PlatformRead | null {
    if (this.mode === 'down') return null;
    return this.mode === 'stale' ? this.former : this.current;
  }

  publish(): void {
    this.change({...this.current, revision: this.current.revision + 1});
  }

  /** Returns the list with a host added and another removed. */
  changed(added: string | null, removed: string): string[] {
    const hosts = this.current.hosts.filter(host => host !== removed);
    if (added !== null && !hosts.includes(added)) hosts.push(added);
    return hosts;
  }

  list(hosts: readonly string[]): void {
    this.change({...this.current, hosts});
  }

  private change(next: PlatformRead): void {
    this.former = this.current;
    this.current = next;
  }
}
