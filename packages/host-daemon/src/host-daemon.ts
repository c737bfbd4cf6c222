import * as admission from '@camphorwharf/admission';
import * as fleetLimits from '@camphorwharf/fleet-limits';
import * as ownership from '@camphorwharf/ownership';
import * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as http from 'node:http';
import * as callerEndpoint from './caller-endpoint.js';
import * as callerPath from './caller-path.js';
import * as decisionLog from './decision-log.js';
import * as fleetReports from './fleet-reports.js';
import * as fleetState from './fleet-state.js';
import type * as hostDaemonOptions from './host-daemon-options.js';
import * as localTarget from './local-target.js';
import * as localTargetState from './local-target-state.js';
import * as peerLinks from './peer-links.js';
import * as peerPath from './peer-path.js';
import * as periodicChecks from './periodic-checks.js';
import * as readinessServer from './readiness-server.js';
import * as requestForwarder from './request-forwarder.js';
import * as targetSender from './target-sender.js';
import * as taskWatch from './task-watch.js';

/** Heartbeats of peer connections; fewer than the default, as each costs. */
const PEER_HEARTBEAT_MS = 500;
const PEER_SILENCE_MS = 1_300;

/** Connections to the backend server beyond its slots. */
const SPARE_CONNECTIONS = 8;

/**
 * Clients are told to leave at once and have left after this time. New
 * requests are taken until then.
 */
const DEPARTURE_MS = 2_600;

/** What the stop leaves of its time limit for closing connections. */
const STOP_MARGIN_MS = 700;

/** The daemon of one host: wiring, readiness and the planned stop. */
export class HostDaemon {
  private readonly lifetime = new AbortController();
  private readonly state: fleetState.FleetState;
  private readonly members: fleetLimits.FleetMembers;
  private readonly limits: fleetLimits.FleetRateLimits;
  private readonly board: routing.TargetBoard;
  private readonly targetState: localTargetState.LocalTargetState;
  private readonly local: localTarget.LocalTarget;
  private readonly client: transport.WholeExchangeClient;
  private readonly pool: transport.PeerPool;
  private readonly listener: transport.PeerListener;
  private readonly reports: fleetReports.FleetReports;
  private readonly endpoint: callerEndpoint.CallerEndpoint;
  private readonly servers: http.Server[] = [];
  private stopping = false;
  private departed = false;

  constructor(private readonly options: hostDaemonOptions.HostDaemonOptions) {
    const {clock, logger, metrics, random, settings} = options;
    const nowMs = clock.monotonicMs();
    const incarnation = runtime.randomIdentifier(random);
    const ownAddress = settings.callers.address;
    this.members = new fleetLimits.FleetMembers(ownAddress);
    this.limits = new fleetLimits.FleetRateLimits(this.members, nowMs);
    this.board = new routing.TargetBoard(
      ownAddress,
      settings.availabilityZone,
      random,
    );
    this.targetState = new localTargetState.LocalTargetState(
      settings.service,
      settings.backendServer.address,
      settings.backendServer.port,
      settings.drainMs,
    );
    this.state = new fleetState.FleetState({
      decoder: options.decoder,
      logger,
      metrics,
      platformReadsPerSecond: settings.platformReadsPerSecond,
      entryRenewalMs: settings.entryRenewalMs,
      onConfiguration: (configuration, changedMs) =>
        this.applyConfiguration(configuration, changedMs),
      onServers: changedMs => this.applyServers(changedMs),
    });
    this.client = new transport.WholeExchangeClient({
      ...settings.backendServer,
      nowMs: () => clock.monotonicMs(),
      maximumConnections: () => this.targetState.slots + SPARE_CONNECTIONS,
    });
    const decisions = new decisionLog.DecisionLog(logger, metrics, clock);
    const downstream = new admission.DownstreamPressure();
    const entry = new admission.PressureTable();
    this.local = new localTarget.LocalTarget({
      clock,
      logger,
      metrics,
      meter: new runtime.EventLoopMeter(),
      decisions,
      dialect: options.dialect,
      client: this.client,
      state: this.targetState,
      downstream,
    });
    const {local} = this;
    const phaseMs = random.next() * PEER_HEARTBEAT_MS;
    const peerOptions = {
      clock,
      logger,
      metrics,
      heartbeatIntervalMs: PEER_HEARTBEAT_MS,
      heartbeatPhaseMs: phaseMs,
      silenceLimitMs: PEER_SILENCE_MS,
      hello: {
        hostId: ownAddress,
        incarnation,
        service: settings.service,
        availabilityZone: settings.availabilityZone,
      },
      handler: new peerPath.PeerPath({
        clock,
        service: settings.service,
        incarnation,
        local,
        register: new ownership.CallRegister(),
        reports: () => this.reports,
      }),
    };
    this.pool = new transport.PeerPool(peerOptions);
    this.listener = new transport.PeerListener(peerOptions);
    const peers = new peerLinks.PeerLinks({
      ownAddress,
      pool: this.pool,
      accepted: () => this.listener.connections,
    });
    this.reports = new fleetReports.FleetReports({
      clock,
      logger,
      state: this.state,
      limits: this.limits,
      board: this.board,
      load: () => local.load,
      isTargetLeaving: () => this.targetState.isLeaving,
      downstream,
      entry,
      peers,
      peerPort: settings.peers.port,
      ownAddress,
      incarnation,
      startedMs: nowMs,
      intervalMs: PEER_HEARTBEAT_MS,
      phaseMs,
    });
    const forwarder = new requestForwarder.RequestForwarder({
      clock,
      metrics,
      decisions,
      downstream,
      entry,
      gate: local.gate,
      state: this.state,
      board: this.board,
      sender: new targetSender.TargetSender({
        clock,
        peers,
        peerPort: settings.peers.port,
        ownAddress,
        ownService: settings.service,
        local,
      }),
      retryBudget: settings.retryBudget,
      hostCount: () => this.members.count,
    });
    const path = new callerPath.CallerPath({
      clock,
      random,
      metrics,
      decisions,
      dialect: options.dialect,
      state: this.state,
      limits: this.limits,
      entry,
      observer: local.observer,
      gate: local.gate,
      forwarder,
      hasDeparted: () => this.departed,
    });
    this.endpoint = new callerEndpoint.CallerEndpoint({
      logger,
      metrics,
      handler: request => path.handle(request),
    });
  }

  /** Opens the ports and starts the tasks. Throws when a port is taken. */
  async start(): Promise<void> {
    const {clock, logger, metrics, reader, settings} = this.options;
    const {signal} = this.lifetime;
    await this.listener.listen(settings.peers.port, settings.peers.address);
    await this.endpoint.listen(settings.callers.port, settings.callers.address);
    this.servers.push(
      await readinessServer.serveResources(
        {
          [settings.readinessPath]: () =>
            readinessServer.readinessOf(this.isReady),
        },
        settings.readiness.port,
        settings.readiness.address,
      ),
      await readinessServer.serveResources(
        {
          [settings.metricsPath]: async () => ({
            status: 200,
            type: 'text/plain; version=0.0.4; charset=utf-8',
            text: await metrics.exposition(),
          }),
        },
        settings.metrics.port,
        settings.metrics.address,
      ),
    );
    const tasks = {
      platform: reader.run(this.state, signal),
      reports: this.reports.run(signal),
      checks: periodicChecks.runPeriodicChecks(
        {
          clock,
          logger,
          metrics,
          state: this.state,
          limits: this.limits,
          observer: this.local.observer,
        },
        signal,
      ),
      load: this.local.observer.run(signal),
    };
    taskWatch.watchTasks(tasks, logger);
    const {availabilityZone, hostId, service} = settings;
    logger.info('daemon-started', {hostId, service, availabilityZone});
  }

  get isReady(): boolean {
    return !this.stopping && this.state.index !== null;
  }

  /**
   * Takes over changed settings. Addresses and ports stay as they are until
   * the next start.
   */
  applySettings(settings: hostDaemonOptions.HostDaemonSettings): void {
    this.targetState.setDrainTime(settings.drainMs);
    this.options.logger.info('settings-reloaded', {
      drainMs: settings.drainMs,
    });
  }

  /** Stops without cutting requests. Resolves when the process may end. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const {clock, logger, settings} = this.options;
    const startedMs = clock.monotonicMs();
    const endMs = startedMs + settings.stopLimitMs - STOP_MARGIN_MS;
    logger.info('daemon-stopping', {running: this.endpoint.runningCount});
    this.endpoint.beginStop();
    this.reports.announceLeaving();
    await clock.delay(Math.min(DEPARTURE_MS, endMs - clock.monotonicMs()));
    this.departed = true;
    const peersIdle = this.listener.closeWhenIdle();
    while (this.endpoint.runningCount > 0 && clock.monotonicMs() < endMs) {
      await clock.delay(20);
    }
    await Promise.race([
      peersIdle,
      clock.delay(Math.max(0, endMs - clock.monotonicMs())),
    ]);
    logger.info('daemon-stopped', {
      cut: this.endpoint.runningCount,
      afterMs: Math.round(clock.monotonicMs() - startedMs),
    });
    this.close();
  }

  /** Closes everything at once. */
  close(): void {
    this.lifetime.abort();
    this.endpoint.close();
    this.pool.close('daemon closed');
    this.listener.close('daemon closed');
    this.client.destroy();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private applyConfiguration(
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ): void {
    this.endpoint.applyLimits(configuration.limits);
    this.limits.configure(configuration.organisations, nowMs);
    this.reports?.sendAll();
  }

  private applyServers(nowMs: number): void {
    const {directory} = this.state;
    this.targetState.update(directory, nowMs);
    this.board.retain(instance => directory.get(instance) !== null);
    const before = this.members.count;
    this.members.setListed(
      new Set(directory.servers().map(server => server.hostAddress)),
      nowMs,
    );
    // Hosts that have just learnt of each other share their use at once.
    if (this.members.count > before) this.reports.sendAll();
  }
}
