import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as http from 'node:http';
import * as jsonHttp from './json-http.js';

/** Whether reads of the platform return current data, stale data or fail. */
export type PlatformMode = 'up' | 'down' | 'stale';

export interface PlatformStandInOptions {
  readonly clock?: runtime.Clock;
  /** Delay after which a published host list becomes visible. */
  readonly hostListLagMs?: number;
  /** Serves the `/control/` endpoints, for the stand-in as a process. */
  readonly control?: boolean;
}

/** A published value with its revision. */
interface Revisioned<T> {
  readonly revision: number;
  readonly value: T;
}

const MAXIMUM_WAIT_MS = 60_000;

/** HTTP server that publishes the document and host list by long polling. */
export class PlatformStandIn {
  /** Number of accepted reads; a long poll counts once. */
  readCount = 0;
  private mode: PlatformMode = 'up';
  private document: Revisioned<string> | null = null;
  private hosts: Revisioned<readonly declaration.HostEntry[]> | null = null;
  private staleDocument: Revisioned<string> | null = null;
  private staleHosts: Revisioned<readonly declaration.HostEntry[]> | null =
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
    this.wakeWaiters();
    await jsonHttp.closeServer(this.server);
  }

  publishDocument(revision: number, text: string): void {
    this.document = {revision, value: text};
    this.wakeWaiters();
  }

  /** Publishes a host list under the next revision, visible after the lag. */
  publishHosts(hosts: readonly declaration.HostEntry[]): number {
    const revision = ++this.hostRevision;
    const publish = () => {
      if (this.hosts && this.hosts.revision > revision) return;
      this.hosts = {revision, value: hosts};
      this.wakeWaiters();
    };
    if (this.lagMs === 0) publish();
    else void this.clock.delay(this.lagMs, this.stopped.signal).then(publish);
    return revision;
  }

  /** Changes the delay until a published host list becomes visible. */
  setHostListLag(milliseconds: number): void {
    this.lagMs = milliseconds;
  }

  /** Changes the mode; `stale` freezes the data that is visible now. */
  setMode(mode: PlatformMode): void {
    if (mode === 'stale' && this.mode !== 'stale') {
      this.staleDocument = this.document;
      this.staleHosts = this.hosts;
    }
    this.mode = mode;
    if (mode === 'down') this.server.closeAllConnections();
    this.wakeWaiters();
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
        const found = await this.waitForNewer(
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
        const found = await this.waitForNewer(
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

  private visibleDocument(): Revisioned<string> | null {
    return this.mode === 'stale' ? this.staleDocument : this.document;
  }

  private visibleHosts(): Revisioned<readonly declaration.HostEntry[]> | null {
    return this.mode === 'stale' ? this.staleHosts : this.hosts;
  }

  /** Waits for a revision above `after`; resolves to null on timeout. */
  private async waitForNewer<T>(
    read: () => Revisioned<T> | null,
    after: number,
    waitMs: number,
  ): Promise<Revisioned<T> | null> {
    const deadlineMs = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const value = read();
      if (value && value.revision > after) return value;
      const remainingMs = deadlineMs - this.clock.monotonicMs();
      if (remainingMs <= 0 || this.stopped.signal.aborted) return null;
      const wakeController = new AbortController();
      const wake = () => wakeController.abort();
      this.waiters.add(wake);
      await this.clock.delay(remainingMs, wakeController.signal);
      this.waiters.delete(wake);
    }
  }

  private wakeWaiters(): void {
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
