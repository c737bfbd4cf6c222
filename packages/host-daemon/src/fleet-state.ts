import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as freshnessTracker from './freshness-tracker.js';
import * as platformReading from './platform-reading.js';
import type * as publishedState from './published-state.js';
import * as readerSelection from './reader-selection.js';
import * as stateReports from './state-reports.js';
import * as versionedItems from './versioned-items.js';

export interface FleetStateOptions {
  readonly decoder: publishedState.StateDecoder;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Read rate limit of the platform, shared by all hosts. */
  readonly platformReadsPerSecond: number;
  /** Interval at which backend servers renew their entries, in milliseconds. */
  readonly entryRenewalMs: number;
  /** Called after a newer configuration has taken effect. */
  readonly onConfiguration: (
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ) => void;
  /** Called after a response of the platform. */
  readonly onContact: (nowMs: number) => void;
  /** Called after the list of backend servers has changed. */
  readonly onServers: (nowMs: number) => void;
}

/**
 * The current configuration and backend servers, received from the platform or
 * from peers. Neither reverts to an older state within the lifetime of the
 * process.
 */
export class FleetState implements publishedState.StateListener {
  readonly directory = new routing.BackendServerDirectory();
  private currentIndex: routing.ConfigurationIndex | null = null;
  private configurationText: string | null = null;
  private readonly items = new versionedItems.VersionedItems();
  private readonly freshness: freshnessTracker.FreshnessTracker;
  private readonly reports: stateReports.StateReports;
  private role = readerSelection.SOLE_READER;

  constructor(private readonly options: FleetStateOptions) {
    this.reports = new stateReports.StateReports(options);
    this.freshness = new freshnessTracker.FreshnessTracker(
      {renewalMs: options.entryRenewalMs},
      options.logger,
    );
  }

  /** Null until a configuration is known. */
  get index(): routing.ConfigurationIndex | null {
    return this.currentIndex;
  }

  get version(): number {
    return this.currentIndex?.version ?? 0;
  }

  /** Revision of the newest list change received. */
  get latestRevision(): number {
    return this.items.latestRevision;
  }

  /**
   * Highest known revision: that up to which all changes have been received, or
   * that of a later single change.
   */
  get listRevision(): number {
    return Math.max(this.items.syncedRevision, this.items.latestRevision);
  }

  /** All changes of the list up to this revision have been received. */
  get syncedRevision(): number {
    return this.items.syncedRevision;
  }

  /** Whom this host informs of published state, and who informs it. */
  get distributionRole(): readerSelection.DistributionRole {
    return this.role;
  }

  setDistributionRole(role: readerSelection.DistributionRole): void {
    this.reports.distributionRole(this.role, role);
    this.role = role;
  }

  readMode(nowMs: number): platformReading.ReadModeName {
    return platformReading.readMode(
      this.role,
      this.freshness.contactAges(nowMs),
      this.directory.size,
      this.options.platformReadsPerSecond,
    );
  }

  /** Milliseconds since the platform last confirmed the configuration. */
  configurationAgeMs(nowMs: number): number {
    return this.freshness.configurationAgeMs(nowMs);
  }

  /**
   * Whether the platform has confirmed the configuration recently, so that only
   * a very recent change can be missing.
   */
  isConfigurationFresh(nowMs: number): boolean {
    return this.freshness.isConfigurationFresh(nowMs);
  }

  contactReport(nowMs: number): freshnessTracker.ContactReport {
    return this.freshness.report(nowMs);
  }

  /**
   * Records the contact a peer reports; `version` is that of its configuration.
   */
  recordPeerContact(
    report: freshnessTracker.ContactReport,
    version: number,
    nowMs: number,
  ): void {
    this.freshness.recordPeerReport(report, version === this.version, nowMs);
    this.removeExpired(nowMs);
  }

  /**
   * The state to transfer to a peer that has an older one: all of it, or what
   * has changed since the peer's version and revision.
   */
  snapshot(
    version = 0,
    since: number | null = null,
  ): publishedState.StateSnapshot {
    const changes = since === null ? null : this.items.changesSince(since);
    const servers = changes ?? this.items.changes();
    return {
      configuration: this.version > version ? this.configurationText : null,
      servers: servers.map(({key, text, revision}) => [key, text, revision]),
      revision: this.items.syncedRevision,
      ...(changes && since !== null ? {since} : {}),
    };
  }

  /** Merges the parts of a peer's state that are newer. */
  mergeSnapshot(snapshot: publishedState.StateSnapshot, nowMs: number): void {
    if (snapshot.configuration !== null) {
      this.applyConfiguration(snapshot.configuration, 'peer', nowMs);
    }
    const changes = snapshot.servers.map(([key, text, revision]) => ({
      key,
      text,
      revision,
    }));
    const applied =
      snapshot.since === undefined
        ? this.items.mergeList(changes, snapshot.revision)
        : this.items.mergeChanges(changes, snapshot.revision);
    this.applyChanges(applied, 'peer', nowMs);
  }

  onConfigurationRead(text: string, nowMs: number): void {
    this.applyConfiguration(text, 'platform', nowMs);
  }

  onServersListed(
    items: readonly publishedState.ItemChange[],
    revision: number,
    nowMs: number,
  ): void {
    const applied = this.items.mergeList(items, revision);
    this.applyChanges(applied, 'platform', nowMs);
  }

  onServerChanged(change: publishedState.ItemChange, nowMs: number): void {
    if (!this.items.merge(change)) return;
    this.applyChanges([change], 'platform', nowMs);
  }

  onServersSynced(revision: number): void {
    this.items.markSynced(revision);
  }

  onContact(
    subject: publishedState.PublishedSubject,
    succeeded: boolean,
    nowMs: number,
  ): void {
    this.freshness.recordPlatformResult(subject, succeeded, nowMs);
    if (!succeeded) return;
    this.removeExpired(nowMs);
    this.options.onContact(nowMs);
  }

  /**
   * Discards all contact times after time has passed that the monotonic clock
   * did not count.
   */
  handleSuspend(): void {
    this.freshness.reset();
  }

  private applyConfiguration(
    text: string,
    source: stateReports.ChangeSource,
    nowMs: number,
  ): void {
    if (text === this.configurationText) return;
    let configuration: routing.FleetConfiguration;
    try {
      configuration = this.options.decoder.configuration(text);
    } catch (error) {
      this.reports.rejectedConfiguration(error);
      return;
    }
    if (configuration.version <= this.version) return;
    const previous = this.version;
    this.currentIndex = new routing.ConfigurationIndex(configuration);
    this.configurationText = text;
    this.reports.inForce(configuration, previous, source);
    this.options.onConfiguration(configuration, nowMs);
  }

  private applyChanges(
    changes: readonly publishedState.ItemChange[],
    source: stateReports.ChangeSource,
    nowMs: number,
  ): void {
    if (changes.length === 0) return;
    for (const change of changes) this.applyChange(change, source, nowMs);
    this.options.onServers(nowMs);
  }

  private applyChange(
    change: publishedState.ItemChange,
    source: stateReports.ChangeSource,
    nowMs: number,
  ): void {
    const {key, revision, text} = change;
    const previous = this.directory.get(key);
    const server = text === null ? null : this.decodeServer(key, text);
    if (server) {
      this.directory.put(server, nowMs);
      if (!previous) this.logServerChange('added', server, revision, source);
      else if (previous.phase !== server.phase) {
        this.logServerChange('changed', server, revision, source);
      }
      return;
    }
    if (!previous) return;
    if (text === null && this.mayReregister(previous, nowMs)) {
      this.directory.markMissing(key);
      this.logServerChange('missing', previous, revision, source);
      return;
    }
    this.directory.remove(key);
    this.logServerChange('removed', previous, revision, source);
  }

  /**
   * Whether an entry may have expired only because the platform was
   * unavailable.
   */
  private mayReregister(server: routing.BackendServer, nowMs: number): boolean {
    return (
      server.phase === 'ready' && !this.freshness.isListAuthoritative(nowMs)
    );
  }

  private removeExpired(nowMs: number): void {
    if (!this.freshness.isListAuthoritative(nowMs)) return;
    const expired = this.directory.removeMissing();
    if (expired.length === 0) return;
    this.options.logger.info('backend-servers-expired', {instances: expired});
    this.options.onServers(nowMs);
  }

  /** Returns null if the text does not describe a usable backend server. */
  private decodeServer(
    instance: string,
    text: string,
  ): routing.BackendServer | null {
    try {
      return this.options.decoder.backendServer(instance, text);
    } catch (error) {
      this.reports.rejectedItem('backendServer', error);
      return null;
    }
  }

  private logServerChange(
    change: 'added' | 'changed' | 'missing' | 'removed',
    server: routing.BackendServer,
    revision: number,
    source: stateReports.ChangeSource,
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
}
