import type * as admission from '@camphorwharf/admission';
import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as fleetState from './fleet-state.js';
import * as publishedState from './published-state.js';

/** Part of the interval after which reports follow while a limit is scarce. */
const SCARCE_SHARE = 0.3;

/** Reports that a host may send a second, whatever the size of the fleet. */
const REPORTS_PER_SECOND = 100;

/** The platform itself tells of a change within this time. */
const RELAY_DELAY_MS = 250;

/** A platform that has been silent for longer is taken as out of reach. */
const PLATFORM_SILENT_MS = 1_000;

const STATE_QUERY_TIMEOUT_MS = 1_500;

export interface FleetReportsOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly state: fleetState.FleetState;
  readonly limits: fleetLimits.FleetRateLimits;
  readonly board: routing.TargetBoard;
  /** Pressures of the local backend server and of those below it. */
  readonly load: () => protocol.ReportedLoad;
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /** Pressure below the services that requests of this host go to. */
  readonly entry: admission.PressureTable;
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

interface PeerReport {
  readonly host: string;
  readonly incarnation: string;
  readonly ageMs: number;
  readonly leaving: boolean;
  readonly configuration: number;
  readonly revision: number;
  readonly uses: fleetLimits.UseReport[];
  readonly pressure: number;
  readonly downstreamPressure: number;
}

/**
 * Tells the other hosts what this one has used of each limit, which
 * configuration and list it knows, and whether it stops; and takes in the
 * same from them. A host that knows less asks the sender for the rest.
 */
export class FleetReports {
  private leaving = false;
  private querying = false;

  constructor(private readonly options: FleetReportsOptions) {}

  /** Hosts whose daemons this one reports to. */
  hosts(): Set<string> {
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
      const nowMs = clock.monotonicMs();
      const base = limits.isScarce
        ? intervalMs * SCARCE_SHARE
        : transport.delayToPhase(nowMs, intervalMs, phaseMs);
      const paced = (this.hosts().size * 1_000) / REPORTS_PER_SECOND;
      await clock.delay(Math.max(base, paced), signal);
    }
  }

  /** Sends the present report to every other host. */
  sendAll(): void {
    const {load, ownAddress} = this.options;
    this.learnPressure(ownAddress, load());
    const report = this.compose();
    for (const host of this.hosts()) void this.sendTo(host, report);
  }

  receive(
    raw: Readonly<Record<string, unknown>>,
    link: transport.PeerLink,
  ): void {
    const report = decodeReport(raw);
    if (!report) {
      this.options.logger.warn('peer-report-rejected', {
        hostId: link.remote.hostId,
      });
      return;
    }
    const {board, clock, limits, state} = this.options;
    const nowMs = clock.monotonicMs();
    limits.learn(
      report.host,
      report.incarnation,
      report.ageMs,
      report.uses,
      nowMs,
    );
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== report.host) continue;
      board.noteLeaving(server.instance, report.leaving);
    }
    this.learnPressure(report.host, report);
    if (this.knowsMore(report, nowMs)) void this.queryState(report, link);
  }

  /**
   * Answers tell the pressure too, but none come from a service whose requests
   * are all shed; it would then seem to have none.
   */
  private learnPressure(
    host: string,
    load: Pick<protocol.ReportedLoad, 'pressure' | 'downstreamPressure'>,
  ): void {
    const {clock, downstream, entry, state} = this.options;
    const nowMs = clock.monotonicMs();
    for (const server of state.directory.servers()) {
      if (server.hostAddress !== host) continue;
      downstream.learn(server.service, load.pressure ?? 0, nowMs);
      entry.learn(server.service, load.downstreamPressure ?? 0, nowMs);
    }
  }

  answerStateQuery(): protocol.ControlReply {
    return {
      kind: 'configurationAnswer',
      revision: this.options.state.version,
      digest: '',
      document: JSON.stringify(this.options.state.relayedState()),
    };
  }

  private compose(): Readonly<Record<string, unknown>> {
    const {clock, incarnation, limits, ownAddress, startedMs, state} =
      this.options;
    const nowMs = clock.monotonicMs();
    const {downstreamPressure, pressure} = this.options.load();
    return {
      host: ownAddress,
      incarnation,
      ageMs: Math.round(nowMs - startedMs),
      leaving: this.leaving,
      configuration: state.version,
      revision: state.storeRevision,
      uses: limits
        .report(nowMs)
        .map(use => [use.organisation, use.used, use.demand, use.level]),
      ...(pressure === undefined ? {} : {pressure}),
      ...(downstreamPressure === undefined ? {} : {downstreamPressure}),
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

  private knowsMore(report: PeerReport, nowMs: number): boolean {
    const {state} = this.options;
    if (report.configuration > state.version) return true;
    return (
      report.revision > state.storeRevision &&
      state.silenceMs(nowMs) > PLATFORM_SILENT_MS
    );
  }

  private async queryState(
    report: PeerReport,
    link: transport.PeerLink,
  ): Promise<void> {
    if (this.querying) return;
    this.querying = true;
    const {clock, logger, state} = this.options;
    try {
      // A process without any configuration does not wait for the platform.
      if (state.index) await clock.delay(RELAY_DELAY_MS);
      if (!this.knowsMore(report, clock.monotonicMs())) return;
      const reply = await link.request(
        {kind: 'configurationDigest', revision: state.version, digest: ''},
        STATE_QUERY_TIMEOUT_MS,
      );
      if (reply.kind !== 'configurationAnswer' || !reply.document) return;
      const relayed = publishedState.parseRelayedState(reply.document);
      if (!relayed) return;
      logger.info('state-adopted-from-peer', {
        host: report.host,
        version: report.configuration,
        revision: relayed.revision,
      });
      state.adoptRelayed(relayed, clock.monotonicMs());
    } catch (error) {
      logger.warn('peer-state-query-failed', {
        host: report.host,
        error: error instanceof Error ? error.message : String(error),
      });
    } finally {
      this.querying = false;
    }
  }
}

/** Returns null when the value is no report. */
function decodeReport(
  raw: Readonly<Record<string, unknown>>,
): PeerReport | null {
  const {host, incarnation, ageMs, leaving, configuration, revision, uses} =
    raw;
  if (typeof host !== 'string' || typeof incarnation !== 'string') return null;
  if (typeof ageMs !== 'number' || typeof leaving !== 'boolean') return null;
  if (typeof configuration !== 'number' || typeof revision !== 'number') {
    return null;
  }
  if (!Array.isArray(uses)) return null;
  const {downstreamPressure = 0, pressure = 0} = raw;
  if (!isShare(pressure) || !isShare(downstreamPressure)) return null;
  const decoded: fleetLimits.UseReport[] = [];
  for (const use of uses as unknown[]) {
    if (!Array.isArray(use)) return null;
    const [organisation, used, demand, level] = use as unknown[];
    if (typeof organisation !== 'string') return null;
    if (![used, demand, level].every(Number.isFinite)) return null;
    decoded.push({
      organisation,
      used: used as number,
      demand: demand as number,
      level: level as number,
    });
  }
  return {
    host,
    incarnation,
    ageMs,
    leaving,
    configuration,
    revision,
    uses: decoded,
    pressure,
    downstreamPressure,
  };
}

function isShare(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= 1;
}
