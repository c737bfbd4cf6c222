import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as fleetContact from './fleet-contact.js';
import type * as publishedState from './published-state.js';
import * as versionedItems from './versioned-items.js';
import * as watchPace from './watch-pace.js';

export interface FleetStateOptions {
  readonly decoder: publishedState.StateDecoder;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Reads a second that the platform allows to all hosts together. */
  readonly platformReadsPerSecond: number;
  /** Interval at which backend servers renew their entries, in milliseconds. */
  readonly entryRenewalMs: number;
  /** Called after a newer configuration is in force. */
  readonly onConfiguration: (
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ) => void;
  readonly onServers: (nowMs: number) => void;
}

/** By which way this process learnt of a change. */
type Source = 'platform' | 'peer';

/**
 * The configuration and the backend servers that this process believes in,
 * from the platform or from peers. Neither goes back within the life of the
 * process.
 */
export class FleetState implements publishedState.StateListener {
  readonly directory = new routing.BackendServerDirectory();
  private current: routing.ConfigurationIndex | null = null;
  private configurationText: string | null = null;
  private readonly items = new versionedItems.VersionedItems();
  private readonly contacts: fleetContact.FleetContact;

  constructor(private readonly options: FleetStateOptions) {
    this.contacts = new fleetContact.FleetContact(
      {renewalMs: options.entryRenewalMs},
      options.logger,
    );
  }

  /** Null until a configuration is known. */
  get index(): routing.ConfigurationIndex | null {
    return this.current;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Revision of the newest change of the list that is known. */
  get newestChange(): number {
    return this.items.newestChange;
  }

  /** Every change of the list up to this revision is known, or a later one. */
  get listRevision(): number {
    return Math.max(this.items.followed, this.items.newestChange);
  }

  get watchWaitMs(): number {
    return watchPace.watchWaitMs(
      this.directory.size,
      this.options.platformReadsPerSecond,
    );
  }

  /** Milliseconds since the platform last told of the configuration. */
  configurationAgeMs(nowMs: number): number {
    return this.contacts.configurationAgeMs(nowMs);
  }

  /** Whether no change of the configuration can have been missed for long. */
  isConfigurationFresh(nowMs: number): boolean {
    return this.contacts.isConfigurationFresh(nowMs);
  }

  contactReport(nowMs: number): fleetContact.ContactReport {
    return this.contacts.report(nowMs);
  }

  /** Takes in a peer's contact; `version` is that of its configuration. */
  notePeerContact(
    report: fleetContact.ContactReport,
    version: number,
    nowMs: number,
  ): void {
    this.contacts.notePeer(report, version >= this.version, nowMs);
    this.expireMissing(nowMs);
  }

  /** The state for a peer that knows less. */
  relayedState(): publishedState.RelayedState {
    return {
      configuration: this.configurationText,
      servers: this.items
        .changes()
        .map(({key, text, revision}) => [key, text, revision]),
      revision: this.items.followed,
    };
  }

  /** Takes over what a peer knows, where it is newer. */
  adoptRelayed(state: publishedState.RelayedState, nowMs: number): void {
    if (state.configuration !== null) {
      this.applyConfiguration(state.configuration, 'peer', nowMs);
    }
    const changes = state.servers.map(([key, text, revision]) => ({
      key,
      text,
      revision,
    }));
    const news = this.items.mergeList(changes, state.revision);
    this.applyChanges(news, 'peer', nowMs);
  }

  configurationRead(text: string, nowMs: number): void {
    this.applyConfiguration(text, 'platform', nowMs);
  }

  serversListed(
    items: readonly publishedState.ItemChange[],
    revision: number,
    nowMs: number,
  ): void {
    const news = this.items.mergeList(items, revision);
    this.applyChanges(news, 'platform', nowMs);
  }

  serverChanged(change: publishedState.ItemChange, nowMs: number): void {
    if (!this.items.merge(change)) return;
    this.applyChanges([change], 'platform', nowMs);
  }

  serversFollowed(revision: number): void {
    this.items.follow(revision);
  }

  contact(
    subject: publishedState.PublishedSubject,
    succeeded: boolean,
    nowMs: number,
  ): void {
    this.contacts.noteOwn(subject, succeeded, nowMs);
    if (succeeded) this.expireMissing(nowMs);
  }

  /**
   * Time has passed that the monotonic clock did not count, so that nothing
   * that was heard before it counts as recent.
   */
  noteStandstill(): void {
    this.contacts.forget();
  }

  private applyConfiguration(
    text: string,
    source: Source,
    nowMs: number,
  ): void {
    if (text === this.configurationText) return;
    let configuration: routing.FleetConfiguration;
    try {
      configuration = this.options.decoder.configuration(text);
    } catch (error) {
      this.reject('configuration', error);
      return;
    }
    if (configuration.version <= this.version) return;
    const previous = this.version;
    this.current = new routing.ConfigurationIndex(configuration);
    this.configurationText = text;
    this.options.logger.info('configuration-in-force', {
      version: configuration.version,
      previous,
      source,
      routes: configuration.routes.length,
      organisations: configuration.organisations.length,
    });
    this.options.metrics.gauge(
      'configuration_version',
      'Version of the configuration in force.',
      configuration.version,
    );
    this.options.onConfiguration(configuration, nowMs);
  }

  private applyChanges(
    changes: readonly publishedState.ItemChange[],
    source: Source,
    nowMs: number,
  ): void {
    if (changes.length === 0) return;
    for (const change of changes) this.applyChange(change, source, nowMs);
    this.options.onServers(nowMs);
  }

  private applyChange(
    change: publishedState.ItemChange,
    source: Source,
    nowMs: number,
  ): void {
    const {key, revision, text} = change;
    const known = this.directory.get(key);
    const server = text === null ? null : this.decodeServer(key, text);
    if (server) {
      this.directory.put(server, nowMs);
      if (!known) this.logServer('added', server, revision, source);
      else if (known.phase !== server.phase) {
        this.logServer('changed', server, revision, source);
      }
      return;
    }
    if (!known) return;
    if (text === null && this.mayReturn(known, nowMs)) {
      this.directory.markMissing(key);
      this.logServer('missing', known, revision, source);
      return;
    }
    this.directory.remove(key);
    this.logServer('removed', known, revision, source);
  }

  /** Whether an entry may have lapsed only because the platform was away. */
  private mayReturn(server: routing.BackendServer, nowMs: number): boolean {
    return server.phase === 'ready' && !this.contacts.isListSettled(nowMs);
  }

  private expireMissing(nowMs: number): void {
    if (!this.contacts.isListSettled(nowMs)) return;
    const expired = this.directory.removeMissing();
    if (expired.length === 0) return;
    this.options.logger.info('backend-servers-expired', {instances: expired});
    this.options.onServers(nowMs);
  }

  /** Returns null when the text names no backend server to use. */
  private decodeServer(
    instance: string,
    text: string,
  ): routing.BackendServer | null {
    try {
      return this.options.decoder.backendServer(instance, text);
    } catch (error) {
      this.reject('backendServer', error);
      return null;
    }
  }

  private logServer(
    change: 'added' | 'changed' | 'missing' | 'removed',
    server: routing.BackendServer,
    revision: number,
    source: Source,
  ): void {
    const {instance, service, hostAddress, phase} = server;
    this.options.logger.info(`backend-server-${change}`, {
      instance,
      service,
      hostAddress,
      phase,
      revision,
      source,
    });
  }

  private reject(
    subject: 'configuration' | 'backendServer',
    error: unknown,
  ): void {
    this.options.metrics.count(
      'published_items_rejected_total',
      'Items of the platform that could not be used, by subject.',
      {subject},
    );
    this.options.logger.warn('published-item-rejected', {
      subject,
      error: error instanceof Error ? error.message : String(error),
    });
  }
}
