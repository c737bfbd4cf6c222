import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as freshnessTracker from './freshness-tracker.js';
import * as mergedState from './merged-state.js';
import * as platformReading from './platform-reading.js';
import type * as publishedState from './published-state.js';
import * as readerSelection from './reader-selection.js';

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
  /**
   * Called after the list of backend servers or the evacuated zones have
   * changed.
   */
  readonly onServers: (nowMs: number) => void;
}

/** Eras of the state that a peer's report is about. */
export type ReportedEras = Pick<
  publishedState.StatePosition,
  'era' | 'configurationEra'
>;

const ERA_ZERO: ReportedEras = {era: 0, configurationEra: 0};

/**
 * The current configuration, backend servers and evacuated zones, received from
 * the platform or from peers. Within an era of the platform's store, none of
 * them reverts to an older state, and a message of an earlier era changes
 * nothing. The version of the configuration never decreases within the lifetime
 * of the process.
 */
export class FleetState
  extends mergedState.MergedState
  implements publishedState.StateListener
{
  private readonly freshness: freshnessTracker.FreshnessTracker;
  private role = readerSelection.SOLE_READER;

  constructor(private readonly options: FleetStateOptions) {
    super({
      ...options,
      isListAuthoritative: nowMs => this.freshness.isListAuthoritative(nowMs),
      // The store may have lost entries of live backend servers, which are
      // written again within about two seconds.
      onEra: () => this.freshness.restartList(),
    });
    this.freshness = new freshnessTracker.FreshnessTracker(
      {renewalMs: options.entryRenewalMs},
      options.logger,
    );
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
    const mode = platformReading.readMode(
      this.role,
      this.freshness.contactAges(nowMs),
      this.directory.size,
      this.options.platformReadsPerSecond,
    );
    const needsStore = mode === 'peers' && this.eras.needsStore;
    return needsStore ? platformReading.ReadMode.fallback : mode;
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
   * Records the contact a peer reports; `version` is that of its newest
   * configuration. The contact of a peer in another era proves nothing about
   * the state of this process.
   */
  recordPeerContact(
    report: freshnessTracker.ContactReport,
    version: number,
    nowMs: number,
    {era, configurationEra}: ReportedEras = ERA_ZERO,
  ): void {
    if (era < this.era) this.reports.discardedEarlierEra('peer');
    if (era !== this.era) return;
    const isCurrent = this.configuration.isNewest(configurationEra, version);
    this.freshness.recordPeerReport(report, isCurrent, nowMs);
    this.removeExpired(nowMs);
  }

  onContact(
    subject: publishedState.PublishedSubject,
    succeeded: boolean,
    nowMs: number,
  ): void {
    this.freshness.recordPlatformResult(subject, succeeded, nowMs);
    this.eras.recordStoreResult(succeeded, nowMs);
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

  private removeExpired(nowMs: number): void {
    if (this.freshness.isListAuthoritative(nowMs)) this.removeMissing(nowMs);
  }
}
