import type * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as fleetState from './fleet-state.js';
import * as peerReport from './peer-report.js';
import * as peerStateFetcher from './peer-state-fetcher.js';

/** Part of the interval after which reports follow while a limit is scarce. */
const SCARCE_INTERVAL_RATIO = 0.3;

/** Reports that a host may send a second, whatever the size of the fleet. */
const MAXIMUM_REPORTS_PER_SECOND = 100;

export interface PeerReporterOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly state: fleetState.FleetState;
  readonly limits: fleetLimits.FleetRateLimits;
  readonly loadBalancer: routing.TargetBoard;
  /** Pressures of the local backend server and of those below it. */
  readonly load: () => protocol.ReportedLoad;
  /** Whether the local backend server takes no further work. */
  readonly isTargetLeaving: () => boolean;
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /** Pressure below the services that requests of this host go to. */
  readonly entryPressure: admission.PressureTable;
  readonly peers: transport.PeerDirectory;
  readonly peerPort: number;
  readonly ownAddress: string;
  readonly incarnation: string;
  readonly startedMs: number;
  /**
   * Interval of reports while no limit is nearly used up, and the phase of
   * the reports in it. With those of the heartbeats, a report and a heartbeat
   * leave together.
   */
  readonly intervalMs: number;
  readonly phaseMs: number;
}

/**
 * Tells the other hosts what this one has used of each limit, which
 * configuration and list it knows, and whether it stops; and takes in the
 * same from them.
 */
export class PeerReporter {
  private leaving = false;
  private readonly stateFetcher: peerStateFetcher.PeerStateFetcher;
  /** The process and the age of the last report of each host. */
  private readonly lastReports = new Map<
    string,
    Pick<peerReport.PeerReport, 'incarnation' | 'ageMs'>
  >();

  constructor(private readonly options: PeerReporterOptions) {
    this.stateFetcher = new peerStateFetcher.PeerStateFetcher(options);
  }

  /** Hosts whose daemons this one reports to. */
  peerHosts(): Set<string> {
    const {ownAddress, state} = this.options;
    const hosts = new Set<string>();
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== ownAddress) hosts.add(server.hostAddress);
    }
    return hosts;
  }

  /** Tells the other hosts at once that this one stops. */
  announceLeaving(): void {
    this.leaving = true;
    this.sendAll();
  }

  async run(signal: AbortSignal): Promise<void> {
    const {clock, intervalMs, limits, phaseMs} = this.options;
    while (!signal.aborted) {
      this.sendAll();
      this.removeUnlistedHosts();
      const nowMs = clock.monotonicMs();
      const baseMs = limits.isScarce
        ? intervalMs * SCARCE_INTERVAL_RATIO
        : transport.delayToPhase(nowMs, intervalMs, phaseMs);
      const pacedMs =
        (this.peerHosts().size * 1_000) / MAXIMUM_REPORTS_PER_SECOND;
      await clock.delay(Math.max(baseMs, pacedMs), signal);
    }
  }

  /** Sends the present report to every other host. */
  sendAll(): void {
    const {load, ownAddress} = this.options;
    this.recordPressure(ownAddress, load());
    const report = this.buildReport();
    for (const host of this.peerHosts()) void this.sendTo(host, report);
  }

  receive(
    raw: Readonly<Record<string, unknown>>,
    link: transport.PeerLink,
  ): void {
    const report = peerReport.decodeReport(raw);
    if (!report) {
      this.options.logger.warn('peer-report-rejected', {
        hostId: link.remote.hostId,
      });
      return;
    }
    if (this.isOutdated(report)) return;
    const {loadBalancer, clock, limits, state} = this.options;
    const nowMs = clock.monotonicMs();
    if (report.contact) {
      state.recordPeerContact(report.contact, report.configuration, nowMs);
    }
    limits.learn(
      report.host,
      report.incarnation,
      report.ageMs,
      report.uses,
      nowMs,
    );
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== report.host) continue;
      loadBalancer.noteLeaving(server.instance, report.leaving);
    }
    this.recordPressure(report.host, report);
    this.stateFetcher.fetchIfNewer(report, link);
  }

  /**
   * Whether a later report of the same process was read before. Two hosts may
   * have two connections for a moment.
   */
  private isOutdated(report: peerReport.PeerReport): boolean {
    const {ageMs, host, incarnation} = report;
    const last = this.lastReports.get(host);
    if (last?.incarnation === incarnation && ageMs < last.ageMs) return true;
    this.lastReports.set(host, {incarnation, ageMs});
    return false;
  }

  private removeUnlistedHosts(): void {
    const hosts = this.peerHosts();
    for (const host of this.lastReports.keys()) {
      if (!hosts.has(host)) this.lastReports.delete(host);
    }
  }

  /**
   * Answers tell the pressure too, but none come from a service whose requests
   * are all shed; it would then seem to have none.
   */
  private recordPressure(
    host: string,
    load: Pick<protocol.ReportedLoad, 'pressure' | 'downstreamPressure'>,
  ): void {
    const {clock, downstream, entryPressure, state} = this.options;
    const nowMs = clock.monotonicMs();
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== host) continue;
      downstream.learn(server.service, load.pressure ?? 0, nowMs);
      entryPressure.learn(server.service, load.downstreamPressure ?? 0, nowMs);
    }
  }

  answerStateQuery(): protocol.ControlReply {
    return {
      kind: 'configurationAnswer',
      revision: this.options.state.version,
      digest: '',
      document: JSON.stringify(this.options.state.snapshot()),
    };
  }

  private buildReport(): Readonly<Record<string, unknown>> {
    const {clock, incarnation, limits, ownAddress, startedMs, state} =
      this.options;
    const nowMs = clock.monotonicMs();
    const {downstreamPressure, pressure} = this.options.load();
    return {
      host: ownAddress,
      incarnation,
      ageMs: Math.round(nowMs - startedMs),
      leaving: this.leaving || this.options.isTargetLeaving(),
      configuration: state.version,
      revision: state.latestRevision,
      uses: limits
        .report(nowMs)
        .map(use => [use.organisation, use.used, use.demand, use.level]),
      ...(pressure === undefined ? {} : {pressure}),
      ...(downstreamPressure === undefined ? {} : {downstreamPressure}),
      contact: peerReport.encodeContact(state.contactReport(nowMs)),
    };
  }

  private async sendTo(
    host: string,
    report: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    try {
      const link = await this.options.peers.connect(
        host,
        this.options.peerPort,
      );
      link.report(report);
    } catch {
      // The limits and the choice of targets see that the host is silent.
    }
  }
}
