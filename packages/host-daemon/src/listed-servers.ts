import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as changeOrigin from './change-origin.js';
import type * as publishedState from './published-state.js';
import type * as stateReports from './state-reports.js';
import * as versionedItems from './versioned-items.js';

export interface ListedServersOptions {
  readonly decoder: Pick<publishedState.StateDecoder, 'backendServer'>;
  readonly logger: Pick<runtime.Logger, 'info'>;
  readonly reports: Pick<stateReports.StateReports, 'rejectedItem'>;
  /**
   * Whether a missing entry proves that its backend server is gone, because it
   * cannot have expired in an outage of the platform.
   */
  readonly isListAuthoritative: (nowMs: number) => boolean;
}

/** The list of backend servers and the directory that is built from it. */
export class ListedServers {
  readonly items = new versionedItems.VersionedItems();
  readonly directory = new routing.BackendServerDirectory();

  constructor(private readonly options: ListedServersOptions) {}

  /** Applies changes that `items` has accepted as new. */
  apply(
    changes: readonly publishedState.ItemChange[],
    origin: changeOrigin.ChangeOrigin,
  ): void {
    for (const change of changes) this.applyChange(change, origin);
  }

  /** Removes the servers that have not registered again; returns if any. */
  removeMissing(): boolean {
    const instances = this.directory.removeMissing();
    if (instances.length === 0) return false;
    this.options.logger.info('backend-servers-expired', {instances});
    return true;
  }

  private applyChange(
    {key, revision, text}: publishedState.ItemChange,
    origin: changeOrigin.ChangeOrigin,
  ): void {
    const {nowMs} = origin;
    const previous = this.directory.get(key);
    const server = text === null ? null : this.decodeServer(key, text);
    if (server) {
      this.directory.put(server, nowMs);
      if (!previous) this.logChange('added', server, revision, origin);
      else if (previous.phase !== server.phase) {
        this.logChange('changed', server, revision, origin);
      }
      return;
    }
    if (!previous) return;
    if (text === null && this.mayReregister(previous, nowMs)) {
      this.directory.markMissing(key);
      this.logChange('missing', previous, revision, origin);
      return;
    }
    this.directory.remove(key);
    this.logChange('removed', previous, revision, origin);
  }

  /**
   * Whether an entry may have expired only because the platform was
   * unavailable, or was lost in a restore of its store.
   */
  private mayReregister(server: routing.BackendServer, nowMs: number): boolean {
    return server.phase === 'ready' && !this.options.isListAuthoritative(nowMs);
  }

  /** Returns null if the text does not describe a usable backend server. */
  private decodeServer(
    instance: string,
    text: string,
  ): routing.BackendServer | null {
    try {
      return this.options.decoder.backendServer(instance, text);
    } catch (error) {
      this.options.reports.rejectedItem('backendServer', error);
      return null;
    }
  }

  private logChange(
    change: 'added' | 'changed' | 'missing' | 'removed',
    {instance, service, hostAddress, phase}: routing.BackendServer,
    revision: number,
    {era, source}: changeOrigin.ChangeOrigin,
  ): void {
    this.options.logger.info(`backend-server-${change}`, {
      instance,
      service,
      hostAddress,
      phase,
      era,
      revision,
      source,
    });
  }
}
