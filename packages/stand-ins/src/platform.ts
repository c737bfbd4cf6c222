import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as http from 'node:http';
import * as jsonHttp from './json-http.js';

/** How the platform answers reads. */
export type PlatformMode = 'up' | 'down' | 'stale';

export interface PlatformStandInOptions {
  readonly clock?: runtime.Clock;
  /** Time after which a published host list becomes visible. */
  readonly hostListLagMs?: number;
  /** Serves the `/control/` endpoints; used when run as a process. */
  readonly control?: boolean;
}

interface Published<T> {
  readonly revision: number;
  readonly value: T;
}

const MAXIMUM_WAIT_MS = 60_000;

/** A configuration service with a host list, both read by long poll. */
export class PlatformStandIn {
  /** Reads that were accepted, a waiting read counted once. */
  readCount = 0;
  private mode: PlatformMode = 'up';
  private document: Published<string> | null = null;
  private hosts: Published<readonly declaration.HostEntry[]> | null = null;
  private frozenDocument: Published<string> | null = null;
  private frozenHosts: Published<readonly declaration.HostEntry[]> | null =
    null;
  private hostRevision = 0;
  private lagMs: number;
  private waiters = new Set<() => void>();
  private readonly clock: runtime.Clock;
  private readonly server: http.Server;
  private readonly stopped = new AbortController();

  constructor(private readonly options: PlatformStandInOptions = {}) {
    this.clock = options.clock ?? new runtime.SystemClock();
    this.lagMs = options.hostListLagMs ?? 0;
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens on loopback and returns the port. */
  listen(port = 0): Promise<number> {
    return jsonHttp.listenOnLoopback(this.server, port);
  }

  async close(): Promise<void> {
    this.stopped.abort();
    this.wakeAll();
    await jsonHttp.closeServer(this.server);
  }

  publishDocument(revision: number, text: string): void {
    this.document = {revision, value: text};
    this.wakeAll();
  }

  /** Publishes a host list under the next revision, after the lag. */
  publishHosts(hosts: readonly declaration.HostEntry[]): number {
    const revision = ++this.hostRevision;
    const show = () => {
      if (this.hosts && this.hosts.revision > revision) return;
      this.hosts = {revision, value: hosts};
      this.wakeAll();
    };
    if (this.lagMs === 0) show();
    else void this.clock.delay(this.lagMs, this.stopped.signal).then(show);
    return revision;
  }

  /** Changes the delay between publishing and serving a host list. */
  setHostListLag(milliseconds: number): void {
    this.lagMs = milliseconds;
  }

  /** `stale` keeps serving what was visible when it was set. */
  setMode(mode: PlatformMode): void {
    if (mode === 'stale' && this.mode !== 'stale') {
      this.frozenDocument = this.document;
      this.frozenHosts = this.hosts;
    }
    this.mode = mode;
    if (mode === 'down') this.server.closeAllConnections();
    this.wakeAll();
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    if (this.options.control && url.pathname.startsWith('/control/')) {
      await this.serveControl(url.pathname, request, response);
      return;
    }
    if (this.mode === 'down') {
      request.socket.destroy();
      return;
    }
    this.readCount++;
    const after = Number(url.searchParams.get('after') ?? 0);
    const waitMs = Math.min(
      MAXIMUM_WAIT_MS,
      Number(url.searchParams.get('wait') ?? 0),
    );
    switch (url.pathname) {
      case '/v1/document': {
        const found = await this.waitFor(
          () => this.visibleDocument(),
          after,
          waitMs,
        );
        jsonHttp.sendJson(
          response,
          found ? 200 : 304,
          found && {revision: found.revision, document: found.value},
        );
        return;
      }
      case '/v1/hosts': {
        const found = await this.waitFor(
          () => this.visibleHosts(),
          after,
          waitMs,
        );
        jsonHttp.sendJson(
          response,
          found ? 200 : 304,
          found && {revision: found.revision, hosts: found.value},
        );
        return;
      }
      default:
        jsonHttp.sendJson(response, 404, {error: 'Unknown path.'});
    }
  }

  private visibleDocument(): Published<string> | null {
    return this.mode === 'stale' ? this.frozenDocument : this.document;
  }

  private visibleHosts(): Published<readonly declaration.HostEntry[]> | null {
    return this.mode === 'stale' ? this.frozenHosts : this.hosts;
  }

  /** Resolves to what is newer than `after`, or null after the wait. */
  private async waitFor<T>(
    read: () => Published<T> | null,
    after: number,
    waitMs: number,
  ): Promise<Published<T> | null> {
    const endMs = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const value = read();
      if (value && value.revision > after) return value;
      const leftMs = endMs - this.clock.monotonicMs();
      if (leftMs <= 0 || this.stopped.signal.aborted) return null;
      const timer = new AbortController();
      const wake = () => timer.abort();
      this.waiters.add(wake);
      await this.clock.delay(leftMs, timer.signal);
      this.waiters.delete(wake);
    }
  }

  private wakeAll(): void {
    for (const wake of [...this.waiters]) wake();
  }

  private async serveControl(
    path: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await jsonHttp.readJson(request);
    switch (path) {
      case '/control/document':
        this.publishDocument(
          Number(body['revision']),
          String(body['document']),
        );
        break;
      case '/control/hosts':
        this.publishHosts(body['hosts'] as readonly declaration.HostEntry[]);
        break;
      case '/control/mode':
        this.setMode(body['mode'] as PlatformMode);
        break;
      case '/control/lag':
        this.setHostListLag(Number(body['milliseconds']));
        break;
      case '/control/status':
        break;
      default:
        jsonHttp.sendJson(response, 404, {error: 'Unknown path.'});
        return;
    }
    jsonHttp.sendJson(response, 200, {
      mode: this.mode,
      readCount: this.readCount,
      documentRevision: this.document?.revision ?? 0,
      hostRevision: this.hosts?.revision ?? 0,
    });
  }
}
