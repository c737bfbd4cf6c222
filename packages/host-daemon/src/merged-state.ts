import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as changeOrigin from './change-origin.js';
import * as configurationState from './configuration-state.js';
import * as eraTracker from './era-tracker.js';
import * as evacuatedZones from './evacuated-zones.js';
import type * as evacuationAges from './evacuation-ages.js';
import * as listedServers from './listed-servers.js';
import type * as publishedState from './published-state.js';
import * as stateExchange from './state-exchange.js';
import * as stateReports from './state-reports.js';

export interface MergedStateOptions {
  readonly decoder: publishedState.StateDecoder;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Called after a newer configuration has taken effect. */
  readonly onConfiguration: (
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ) => void;
  /**
   * Called after the list of backend servers or the evacuated zones have
   * changed.
   */
  readonly onServers: (nowMs: number) => void;
  /** Called when state of a later era replaces the state in use. */
  readonly onEra: () => void;
  /** Whether a missing item proves that it is gone. */
  readonly isListAuthoritative: (nowMs: number) => boolean;
}

/**
 * The configuration, the backend servers and the evacuated zones, merged from
 * messages of the platform and of peers. Within an era of the platform's store,
 * none of them reverts to an older state, and a message of an earlier era
 * changes nothing.
 */
export class MergedState {
  readonly evacuatedZones: evacuatedZones.EvacuatedZones;
  protected readonly configuration: configurationState.ConfigurationState;
  protected readonly eras = new eraTracker.EraTracker();
  protected readonly reports: stateReports.StateReports;
  private readonly servers: listedServers.ListedServers;

  constructor(private readonly mergeOptions: MergedStateOptions) {
    const reports = new stateReports.StateReports(mergeOptions);
    this.reports = reports;
    this.evacuatedZones = new evacuatedZones.EvacuatedZones(
      mergeOptions.logger,
    );
    this.configuration = new configurationState.ConfigurationState({
      ...mergeOptions,
      reports,
    });
    this.servers = new listedServers.ListedServers({...mergeOptions, reports});
    reports.era(this.era);
  }

  get directory(): routing.BackendServerDirectory {
    return this.servers.directory;
  }

  /** Null until a configuration is known. */
  get index(): routing.ConfigurationIndex | null {
    return this.configuration.index;
  }

  /** Version of the configuration in force. */
  get version(): number {
    return this.index?.version ?? 0;
  }

  get era(): number {
    return this.eras.era;
  }

  /** How recent this state is, for reports to peers. */
  get position(): publishedState.StatePosition {
    return stateExchange.positionOf(this.exchanged, this.era);
  }

  /** The state of which this process has all changes, for queries to peers. */
  get syncedPosition(): stateExchange.QueriedPosition {
    return stateExchange.syncedPositionOf(this.exchanged, this.era);
  }

  /**
   * Whether a peer has newer state that this process would accept. If its era
   * has to be checked first, requests a read of the platform.
   */
  isBehind(position: publishedState.StatePosition, nowMs: number): boolean {
    if (position.era < this.era) return false;
    if (position.era > this.era) {
      if (this.eras.acceptsFromPeer(position.era)) return true;
      this.eras.requestCheck(nowMs);
      return false;
    }
    return stateExchange.isBehind(this.exchanged, position);
  }

  /**
   * The state to transfer to a peer that has an older one: all of it, or what
   * has changed since the peer's position.
   */
  snapshot(
    since: stateExchange.QueriedPosition | null = null,
  ): publishedState.StateSnapshot {
    return stateExchange.createSnapshot(this.exchanged, this.era, since);
  }

  /** Merges the parts of a peer's state that are newer. */
  mergeSnapshot(snapshot: publishedState.StateSnapshot, nowMs: number): void {
    const {configuration, configurationEra = 0, era = 0} = snapshot;
    if (era < this.era) {
      this.reports.discardedEarlierEra('peer');
      return;
    }
    const merges = stateExchange.snapshotMerges(snapshot, nowMs);
    const {evacuations, isWhole, origin, servers} = merges;
    if (era > this.era) {
      // Without both whole lists, it stays unknown what the store has lost.
      if (!isWhole || !evacuations) return;
      if (!this.eras.acceptsFromPeer(era)) return;
    }
    if (configuration !== null) {
      this.configuration.apply(configuration, configurationEra, 'peer', nowMs);
    }
    if (evacuations) this.mergeEvacuations(evacuations, origin, isWhole);
    this.mergeServers(servers, origin);
  }

  /** Applies the ages of evacuations that a peer of the era reports. */
  applyEvacuationAges(
    ages: readonly evacuationAges.EvacuationAge[],
    era: number,
    nowMs: number,
  ): void {
    if (this.evacuatedZones.applyAges(ages, era, nowMs)) {
      this.applyEvacuatedZones(nowMs);
    }
  }

  onConfigurationRead(text: string, nowMs: number, era = 0): void {
    if (!this.acceptsFromPlatform(era)) return;
    this.configuration.apply(text, era, 'platform', nowMs);
  }

  onServersListed(
    items: readonly publishedState.ItemChange[],
    revision: number,
    nowMs: number,
    era = 0,
  ): void {
    if (!this.acceptsFromPlatform(era)) return;
    const origin = {era, source: 'platform', nowMs} as const;
    this.mergeServers(list => list.mergeList(items, revision, era), origin);
  }

  onServerChanged(
    change: publishedState.ItemChange,
    nowMs: number,
    era = 0,
  ): void {
    if (!this.acceptsFromPlatform(era)) return;
    const origin = {era, source: 'platform', nowMs} as const;
    this.mergeServers(
      list => (list.merge(change, era) ? [change] : []),
      origin,
    );
  }

  onEvacuationsListed(
    items: readonly publishedState.ItemChange[],
    revision: number,
    nowMs: number,
    era = 0,
  ): void {
    if (!this.acceptsFromPlatform(era)) return;
    const origin = {era, source: 'platform', nowMs} as const;
    const merge: stateExchange.Merge = list =>
      list.mergeList(items, revision, era);
    this.mergeEvacuations(merge, origin, true);
  }

  onEvacuationChanged(
    change: publishedState.ItemChange,
    nowMs: number,
    era = 0,
  ): void {
    if (!this.acceptsFromPlatform(era)) return;
    const origin = {era, source: 'platform', nowMs} as const;
    this.mergeEvacuations(
      list => (list.merge(change, era) ? [change] : []),
      origin,
      false,
    );
  }

  onServersSynced(revision: number, era = 0): void {
    if (!this.acceptsFromPlatform(era)) return;
    this.servers.items.markSynced(revision, era);
    this.evacuatedZones.items.markSynced(revision, era);
  }

  /** Ends what has not been written again since the store lost it. */
  protected removeMissing(nowMs: number): void {
    if (this.servers.removeMissing()) this.mergeOptions.onServers(nowMs);
    if (this.evacuatedZones.removeMissing()) this.applyEvacuatedZones(nowMs);
  }

  private get exchanged(): stateExchange.ExchangedState {
    const {configuration, evacuatedZones, servers} = this;
    return {configuration, evacuatedZones, servers};
  }

  /** Returns false, and counts it, for a message of an earlier era. */
  private acceptsFromPlatform(era: number): boolean {
    this.eras.recordStoreEra(era);
    if (era >= this.era) return true;
    this.reports.discardedEarlierEra('platform');
    return false;
  }

  /** Begins a new era if the message is of a later one than the state in use. */
  private enterEra({era, source}: changeOrigin.ChangeOrigin): void {
    const previous = this.era;
    if (!this.eras.advance(era)) return;
    this.mergeOptions.onEra();
    this.reports.eraBegun(era, previous, source);
  }

  private mergeEvacuations(
    merge: stateExchange.Merge,
    origin: changeOrigin.ChangeOrigin,
    isWhole: boolean,
  ): void {
    const {evacuatedZones} = this;
    const changes = merge(evacuatedZones.items);
    if (evacuatedZones.items.era > this.era) this.enterEra(origin);
    evacuatedZones.apply(changes, origin, isWhole);
    if (changes.length > 0) this.applyEvacuatedZones(origin.nowMs);
  }

  private mergeServers(
    merge: stateExchange.Merge,
    origin: changeOrigin.ChangeOrigin,
  ): void {
    const changes = merge(this.servers.items);
    if (this.servers.items.era > this.era) this.enterEra(origin);
    if (changes.length === 0) return;
    this.servers.apply(changes, origin);
    this.mergeOptions.onServers(origin.nowMs);
  }

  private applyEvacuatedZones(nowMs: number): void {
    this.directory.setEvacuatedZones(this.evacuatedZones.zones);
    this.mergeOptions.onServers(nowMs);
  }
}
