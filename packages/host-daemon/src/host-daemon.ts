import * as fleetLimits from '@camphorwharf/fleet-limits';
import * as ownership from '@camphorwharf/ownership';
import * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as http from 'node:http';
import * as bodyMemory from './body-memory.js';
import * as callerHttpServer from './caller-http-server.js';
import * as requestHandler from './request-handler.js';
import * as requestLogger from './request-logger.js';
import * as peerReporter from './peer-reporter.js';
import * as fleetState from './fleet-state.js';
import * as coldStartTask from './cold-start-task.js';
import * as distributionPlanner from './distribution-planner.js';
import * as gracefulStop from './graceful-stop.js';
import type * as hostDaemonOptions from './host-daemon-options.js';
import * as localTarget from './local-target.js';
import * as localTargetState from './local-target-state.js';
import * as peerNetwork from './peer-network.js';
import * as peerRequestHandler from './peer-request-handler.js';
import * as peerTiming from './peer-timing.js';
import * as periodicChecks from './periodic-checks.js';
import * as serverChanges from './server-changes.js';
import * as servicePressures from './service-pressures.js';
import * as stopSchedule from './stop-schedule.js';
import * as statusServer from './status-server.js';
import * as requestForwarder from './request-forwarder.js';
import * as targetClient from './target-client.js';
import * as taskFailureLog from './task-failure-log.js';
import * as zoneStates from './zone-states.js';

/** Connections to the backend server beyond its number of slots. */
const EXTRA_CONNECTIONS = 8;

/** The daemon of one host: wiring, readiness and graceful shutdown. */
export class HostDaemon {
  private readonly shutdown = new AbortController();
  private readonly state: fleetState.FleetState;
  private readonly members: fleetLimits.FleetMembers;
  private readonly limits: fleetLimits.FleetRateLimits;
  private readonly distribution: distributionPlanner.DistributionPlanner;
  private readonly loadBalancer: routing.TargetBalancer;
  private readonly targetState: localTargetState.LocalTargetState;
  private readonly coldStart: coldStartTask.ColdStartTask;
  private readonly local: localTarget.LocalTarget;
  private readonly pressures: servicePressures.ServicePressures;
  private readonly receivedBodies: transport.BodyMemory;
  private readonly client: transport.BufferedExchangeClient;
  private readonly pool: transport.PeerPool;
  private readonly listener: transport.PeerListener;
  private readonly reporter: peerReporter.PeerReporter;
  private readonly server: callerHttpServer.CallerHttpServer;
  private readonly handler: requestHandler.RequestHandler;
  private statusServers: readonly http.Server[] = [];
  private readonly stopSchedule: stopSchedule.StopSchedule;
  private readonly gracefulStop: gracefulStop.GracefulStop;

  constructor(private readonly options: hostDaemonOptions.HostDaemonOptions) {
    const {clock, logger, metrics, random, settings} = options;
    const nowMs = clock.monotonicMs();
    const incarnation = runtime.randomIdentifier(random);
    const ownAddress = settings.callers.address;
    this.stopSchedule = new stopSchedule.StopSchedule(settings.stopLimitMs);
    this.members = new fleetLimits.FleetMembers(ownAddress);
    this.distribution = new distributionPlanner.DistributionPlanner(
      {address: ownAddress, availabilityZone: settings.availabilityZone},
      this.members,
    );
    this.limits = new fleetLimits.FleetRateLimits(this.members, nowMs, random);
    this.loadBalancer = new routing.TargetBalancer(
      ownAddress,
      settings.availabilityZone,
      random,
      coldStartTask.createColdCapacity(random, this.members, () => this.state),
    );
    this.targetState = new localTargetState.LocalTargetState(
      settings.service,
      settings.backendServer.address,
      settings.backendServer.port,
      settings.drainMs,
      settings.evacuationMs,
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
      onContact: () => this.reporter?.informDownstream(),
    });
    const memory = bodyMemory.createMemory(settings.memoryBytes);
    this.receivedBodies = memory.received;
    this.client = new transport.BufferedExchangeClient({
      ...settings.backendServer,
      nowMs: () => clock.monotonicMs(),
      maximumConnections: () => this.targetState.slots + EXTRA_CONNECTIONS,
      ...memory.backend,
      onUnexpectedClose: () => this.coldStart.noteConnectionLost(),
    });
    this.coldStart = new coldStartTask.ColdStartTask(options);
    this.targetState.onEvacuationEnded = endedMs =>
      this.coldStart.monitor.treatAsCold('zoneReturned', endedMs);
    const requestLog = new requestLogger.RequestLogger(logger, metrics, clock);
    this.pressures = servicePressures.createServicePressures(
      options,
      () => this.state.index,
    );
    this.local = new localTarget.LocalTarget({
      ...options,
      meter: new runtime.EventLoopMeter(),
      requestLog,
      client: this.client,
      state: this.targetState,
      ...this.pressures,
      coldStart: this.coldStart.monitor,
      index: () => this.state.index,
    });
    const {local, pressures} = this;
    const phaseMs = random.next() * peerTiming.PEER_HEARTBEAT_MS;
    const peerHandler = new peerRequestHandler.PeerRequestHandler({
      clock,
      service: settings.service,
      incarnation,
      local,
      stopSchedule: this.stopSchedule,
      ...memory.backend,
      startedCalls: new ownership.CallRegister(),
      reporter: () => this.reporter,
      costs: pressures.costs,
    });
    const {peers, ...network} = peerNetwork.createPeerNetwork({
      ...options,
      incarnation,
      handler: peerHandler,
      bodyMemory: memory.received,
      phaseMs,
      hostCount: () => this.members.count,
    });
    this.pool = network.pool;
    this.listener = network.listener;
    this.reporter = new peerReporter.PeerReporter({
      ...options,
      state: this.state,
      limits: this.limits,
      members: this.members,
      loadBalancer: this.loadBalancer,
      load: () => local.load,
      isTargetLeaving: () => this.targetState.isLeaving,
      ...pressures,
      peers,
      peerPort: settings.peers.port,
      ownAddress,
      availabilityZone: settings.availabilityZone,
      incarnation,
      startedMs: nowMs,
      intervalMs: peerTiming.PEER_HEARTBEAT_MS,
      phaseMs,
    });
    const forwarder = new requestForwarder.RequestForwarder({
      ...options,
      requestLog,
      ...pressures,
      scheduler: local.scheduler,
      state: this.state,
      loadBalancer: this.loadBalancer,
      client: new targetClient.TargetClient({
        ...options,
        ...memory.targets,
        peers,
        peerPort: settings.peers.port,
        ownAddress,
        ownService: settings.service,
        local,
        costs: pressures.costs,
      }),
      retryBudget: settings.retryBudget,
      hostCount: () => this.members.count,
    });
    this.handler = new requestHandler.RequestHandler({
      ...options,
      requestLog,
      state: this.state,
      limits: this.limits,
      ...pressures,
      monitor: bodyMemory.withMemoryPressure(local.monitor, memory),
      scheduler: local.scheduler,
      forwarder,
      stopSchedule: this.stopSchedule,
      memory,
    });
    this.server = new callerHttpServer.CallerHttpServer({
      ...options,
      ...memory.callers,
      clientLimits: settings.clientLimits,
      handler: request => this.handler.handle(request),
    });
    this.gracefulStop = new gracefulStop.GracefulStop({
      ...options,
      schedule: this.stopSchedule,
      monitor: this.local.monitor,
      clientRequests: () => this.server.runningCount,
      peerCalls: () => peerHandler.runningCalls,
      announce: () => {
        this.server.startDraining();
        this.reporter.announceLeaving();
      },
      close: () => this.close(),
    });
  }

  /** Opens the ports and starts the tasks. Throws if a port is in use. */
  async start(): Promise<void> {
    const {clock, logger, reader, settings} = this.options;
    await this.listener.listen(settings.peers.port, settings.peers.address);
    await this.server.listen(settings.callers.port, settings.callers.address);
    this.statusServers = await statusServer.startStatusServers(
      settings,
      () => this.isReady,
      this.options,
      () => zoneStates.zoneReport(this.state, clock.monotonicMs()),
      this.handler.preview,
    );
    const {signal} = this.shutdown;
    const tasks = {
      platform: reader.run(this.state, signal),
      reports: this.reporter.run(signal),
      checks: periodicChecks.runPeriodicChecks(
        {
          ...this.options,
          state: this.state,
          limits: this.limits,
          monitor: this.local.monitor,
          coldStart: this.coldStart.monitor,
          costs: this.pressures.costs,
          bodyMemory: this.receivedBodies,
        },
        signal,
      ),
      load: this.local.monitor.run(signal),
      coldStart: this.coldStart.monitor.run(signal),
    };
    taskFailureLog.logTaskFailures(tasks, logger);
    const {availabilityZone, hostId, service} = settings;
    logger.info('daemon-started', {hostId, service, availabilityZone});
  }

  /** Number of requests of clients without a complete response. */
  get runningRequests(): number {
    return this.server.runningCount;
  }

  get isReady(): boolean {
    return !this.stopSchedule.stopping && this.state.index !== null;
  }

  /**
   * Applies reloaded settings. Changed addresses and ports take effect at the
   * next start.
   */
  applySettings(settings: hostDaemonOptions.HostDaemonSettings): void {
    const {drainMs, evacuationMs} = settings;
    this.targetState.setDrainTime(drainMs);
    this.targetState.setEvacuationTime(evacuationMs);
    this.options.logger.info('settings-reloaded', {drainMs, evacuationMs});
  }

  /**
   * Shuts down gracefully. Resolves when the process may exit, for each of
   * several requests to stop at the same time.
   */
  stop(): Promise<void> {
    return this.gracefulStop.run();
  }

  /** Closes all connections and servers immediately. */
  close(): void {
    this.shutdown.abort();
    this.server.close();
    this.pool.close('daemon closed');
    this.listener.close('daemon closed');
    this.client.destroy();
    this.coldStart.close();
    statusServer.closeStatusServers(this.statusServers);
  }

  private applyConfiguration(
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ): void {
    this.server.applyLimits(configuration.limits);
    this.limits.configure(routing.organisationsOf(configuration), nowMs);
    this.coldStart.applyConfiguration(configuration, nowMs);
    this.reporter?.informDownstream();
  }

  private applyServers(nowMs: number): void {
    const {state, targetState} = this;
    serverChanges.applyServerChanges(
      {
        settings: this.options.settings,
        distribution: this.distribution,
        loadBalancer: this.loadBalancer,
        members: this.members,
        reporter: this.reporter,
        state,
        targetState,
      },
      nowMs,
    );
    this.coldStart.applyServers(state.directory, targetState, nowMs);
  }
}
