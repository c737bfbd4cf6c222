import type * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as evacuationAges from './evacuation-ages.js';
import type * as fleetState from './fleet-state.js';
import * as peerReport from './peer-report.js';
import * as peerStateFetcher from './peer-state-fetcher.js';
import * as receivedReports from './received-reports.js';
import * as reportDistribution from './report-distribution.js';
import type * as reportedLoad from './reported-load.js';
import type * as requestCosts from './request-costs.js';

/**
 * Factor applied to the report interval while a rate limit is nearly used up.
 */
const SCARCE_INTERVAL_RATIO = 0.3;

/** Reports of several readers that arrive close together are passed on once. */
const MINIMUM_INFORM_INTERVAL_MS = 150;

export interface PeerReporterOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly state: fleetState.FleetState;
  readonly limits: fleetLimits.FleetRateLimits;
  readonly members: Pick<
    fleetLimits.FleetMembers,
    'isMember' | 'isSilent' | 'minimumReportIntervalMs' | 'unlistedHosts'
  >;
  readonly loadBalancer: routing.TargetBalancer;
  /** Pressure of the local backend server and of its downstream services. */
  readonly load: () => protocol.ReportedLoad;
  /** Whether the local backend server accepts no further work. */
  readonly isTargetLeaving: () => boolean;
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /**
   * Downstream pressure reported by the services that this host sends requests
   * to.
   */
  readonly entryPressure: admission.PressureTable;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'notePressure'>;
  readonly peers: transport.PeerConnector;
  readonly peerPort: number;
  readonly ownAddress: string;
  readonly availabilityZone: string;
  readonly random: runtime.RandomSource;
  readonly incarnation: string;
  readonly startedMs: number;
  /**
   * Interval and phase of the reports while no rate limit is nearly used up.
   * They match those of the heartbeats, so that both are sent together.
   */
  readonly intervalMs: number;
  readonly phaseMs: number;
}

/**
 * Reports to the other hosts the rate limit usage of this host, the position of
 * its published state, and whether it is leaving; processes their reports.
 */
export class PeerReporter {
  private leaving = false;
  private lastInformedMs = -Infinity;
  private readonly stateFetcher: peerStateFetcher.PeerStateFetcher;
  private readonly received = new receivedReports.ReceivedReports();
  private readonly distribution: reportDistribution.ReportDistribution;

  constructor(private readonly options: PeerReporterOptions) {
    this.stateFetcher = new peerStateFetcher.PeerStateFetcher(options);
    this.distribution = new reportDistribution.ReportDistribution(
      options.availabilityZone,
      options.random,
    );
  }

  /**
   * Hosts whose daemons this one sends reports to. The daemon of a host whose
   * backend server has left the list needs them as long as it runs: it may have
   * no other way to learn that the server has left.
   */
  peerHosts(): Set<string> {
    return new Set(this.receivers().keys());
  }

  private receivers(): Map<string, reportDistribution.ReportReceiver> {
    const {members, ownAddress, state} = this.options;
    return reportDistribution.reportReceivers(
      state.directory.servers(),
      members.unlistedHosts,
      ownAddress,
    );
  }

  /** Immediately reports to the other hosts that this one is leaving. */
  announceLeaving(): void {
    this.leaving = true;
    const {clock, limits} = this.options;
    const report = this.buildReport(limits.nextReport(clock.monotonicMs()));
    for (const host of this.peerHosts()) void this.sendTo(host, report);
  }

  async run(signal: AbortSignal): Promise<void> {
    const {clock, intervalMs, limits, phaseMs} = this.options;
    while (!signal.aborted) {
      this.sendAll();
      this.received.retain(this.peerHosts());
      const nowMs = clock.monotonicMs();
      const baseMs = limits.isScarce
        ? intervalMs * SCARCE_INTERVAL_RATIO
        : transport.delayToPhase(nowMs, intervalMs, phaseMs);
      const pacedMs = this.options.members.minimumReportIntervalMs;
      await clock.delay(Math.max(baseMs, pacedMs), signal);
    }
  }

  /** Sends the current report to all other hosts, to other zones once. */
  sendAll(): void {
    const {clock, limits, load, members, ownAddress} = this.options;
    this.recordPressure(ownAddress, load());
    const uses = limits.nextReport(clock.monotonicMs());
    const report = this.buildReport(uses);
    const nowMs = clock.monotonicMs();
    const plan = this.distribution.next(
      this.receivers().values(),
      host => this.received.forwards(host) && !members.isSilent(host, nowMs),
    );
    for (const host of plan.direct) void this.sendTo(host, report);
    if (plan.forwarders.length === 0) return;
    const forwarded = {...report, forward: true};
    for (const host of plan.forwarders) void this.sendTo(host, forwarded);
  }

  /** Passes a report of another zone on to the hosts of this one. */
  private forward(
    raw: Readonly<Record<string, unknown>>,
    origin: string,
  ): void {
    const {availabilityZone} = this.options;
    const report = {...raw, forward: false};
    for (const receiver of this.receivers().values()) {
      if (receiver.host === origin) continue;
      if (receiver.availabilityZone !== availabilityZone) continue;
      void this.sendTo(receiver.host, report);
    }
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
    const order = this.received.record(report);
    if (order === 'outdated') return;
    if (raw['forward'] === true) this.forward(raw, report.host);
    const nowMs = this.options.clock.monotonicMs();
    this.applyUses(report, nowMs);
    if (order === 'overtaken') return;
    const {loadBalancer, state} = this.options;
    if (report.contact) {
      state.recordPeerContact(
        report.contact,
        report.configuration,
        nowMs,
        report,
      );
    }
    state.applyEvacuationAges(report.evacuationAges, report.era, nowMs);
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== report.host) continue;
      loadBalancer.noteLeaving(server.instance, report.leaving);
      loadBalancer.notePoorShare(server.instance, report.poorShare ?? 0, nowMs);
    }
    this.recordPressure(report.host, report);
    // The host that forwards a report need not have the newer state itself.
    if (raw['forward'] !== false) this.stateFetcher.fetchIfNewer(report, link);
    this.passOnContact(report, nowMs);
  }

  private applyUses(report: peerReport.PeerReport, nowMs: number): void {
    const {ageMs, host, incarnation, uses} = report;
    if (!uses) return;
    this.options.limits.applyReport(host, incarnation, ageMs, uses, nowMs);
  }

  /** Passes on the contact of a reader to the hosts that this one informs. */
  private passOnContact(report: peerReport.PeerReport, nowMs: number): void {
    const {upstream} = this.options.state.distributionRole;
    if (report.uses !== null || !upstream.has(report.host)) return;
    if (nowMs - this.lastInformedMs < MINIMUM_INFORM_INTERVAL_MS) return;
    this.informDownstream();
  }

  /**
   * Records the pressure that a host reports. Responses carry it as well, but a
   * service whose requests are all shed sends none and would seem to have no
   * pressure.
   */
  private recordPressure(
    host: string,
    load: reportedLoad.ReportedPressures,
  ): void {
    const {clock, costs, downstream, entryPressure, state} = this.options;
    const nowMs = clock.monotonicMs();
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== host) continue;
      downstream.update(server.service, load.pressure ?? 0, nowMs);
      entryPressure.update(server.service, load.downstreamPressure ?? 0, nowMs);
      costs?.notePressure(server.service, load, nowMs);
    }
  }

  answerStateQuery(query: protocol.ConfigurationDigest): protocol.ControlReply {
    const {state} = this.options;
    const snapshot = state.snapshot(peerStateFetcher.decodePosition(query));
    return {
      kind: 'configurationAnswer',
      revision: state.version,
      digest: '',
      document: JSON.stringify(snapshot),
    };
  }

  /** Tells the hosts that this one informs of its published state and contact. */
  informDownstream(): void {
    const {clock, members, state} = this.options;
    const {downstream} = state.distributionRole;
    if (downstream.size === 0) return;
    this.lastInformedMs = clock.monotonicMs();
    const report = this.buildReport(null);
    for (const host of downstream) {
      if (members.isMember(host)) void this.sendTo(host, report);
    }
  }

  /** Sends a full report to hosts that have just been listed. */
  greet(hosts: Iterable<string>): void {
    const {clock, limits} = this.options;
    const report = this.buildReport(limits.completeReport(clock.monotonicMs()));
    for (const host of hosts) void this.sendTo(host, report);
  }

  private buildReport(
    uses: fleetLimits.UsesReport | null,
  ): Readonly<Record<string, unknown>> {
    const {clock, incarnation, ownAddress, startedMs, state} = this.options;
    const nowMs = clock.monotonicMs();
    const load = this.options.load();
    const {downstreamPressure, ownPressure, pressure} = load;
    const {poorShare, slotPressure} = load;
    const ages = state.evacuatedZones.ages(nowMs);
    return {
      host: ownAddress,
      incarnation,
      ageMs: Math.round(nowMs - startedMs),
      leaving: this.leaving || this.options.isTargetLeaving(),
      ...state.position,
      uses: uses && peerReport.encodeUses(uses.uses),
      complete: uses?.isComplete ?? false,
      forwards: true,
      ...(pressure === undefined ? {} : {pressure}),
      ...(downstreamPressure === undefined ? {} : {downstreamPressure}),
      ...(ownPressure === undefined ? {} : {ownPressure}),
      ...(slotPressure === undefined ? {} : {slotPressure}),
      ...(poorShare === undefined ? {} : {poorShare}),
      ...(ages.length > 0 ? {evacuationAges: evacuationAges.encode(ages)} : {}),
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
      // The rate limits and the load balancer detect that the host is silent.
    }
  }
}
