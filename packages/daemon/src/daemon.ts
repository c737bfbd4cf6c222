import * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as callHandlers from './call-handlers.js';
import type * as callerHandler from './caller-handler.js';
import * as daemonComponents from './daemon-components.js';
import * as daemonStatus from './daemon-status.js';
import * as healthTask from './health-task.js';
import * as queueWeights from './queue-weights.js';
import * as settingsFile from './settings.js';
import * as targetAvailability from './target-availability.js';
import * as targetHandler from './target-handler.js';

/**
 * Time for which a stopping daemon keeps serving callers before it closes idle
 * connections. Its responses ask clients to close their connections.
 */
const CALLER_CLOSE_GRACE_MS = 2_000;

const STOP_CHECK_INTERVAL_MS = 25;

/** Owns the servers, clients and background tasks of one `camphorwharfd`. */
export class Daemon {
  /** Resolves when the planned stop has ended; false if it aborted calls. */
  readonly stopped: Promise<boolean>;
  private readonly identity: daemonComponents.DaemonIdentity;
  private readonly metrics = new runtime.Metrics();
  private readonly startedCalls = targetHandler.createCallRegister();
  private readonly taskAbort = new AbortController();
  private readonly peers: transport.PeerPool;
  private readonly listener: transport.PeerListener;
  private readonly callerServer: transport.CallerServer;
  private readonly operatorServer: transport.OperatorServer;
  private readonly backendServerClient: transport.BackendServerClient;
  private readonly coordination: daemonComponents.CoordinationComponents;
  private readonly load: daemonComponents.LoadControlComponents;
  private readonly healthTask: healthTask.HealthTask;
  private readonly controlHandler: coordination.ControlRequestHandler;
  private readonly targetHandler: targetHandler.TargetHandler;
  private readonly callerHandler: callerHandler.CallerHandler;
  private readonly departureTask: coordination.DepartureTask;
  private stopping = false;
  private hasBeenReady = false;
  private readonly availability = new targetAvailability.TargetAvailability();
  private runningTargetCalls = 0;
  private readonly queueWeights = new queueWeights.QueueWeights();
  private resolveStopped: (complete: boolean) => void = () => undefined;

  constructor(
    private readonly settings: settingsFile.Settings,
    private readonly environment: daemonComponents.DaemonEnvironment,
  ) {
    const {clock, random, logger} = environment;
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.identity = {
      self: daemonComponents.createHostEntry(settings),
      incarnation: runtime.randomIdentifier(random, 8),
    };
    const common = {clock, logger, metrics: this.metrics};
    const peerOptions: transport.PeerOptions = {
      ...common,
      hello: {
        hostId: settings.host_id,
        incarnation: this.identity.incarnation,
        service: settings.service,
        availabilityZone: settings.availability_zone,
      },
      handler: {
        onRequest: (body, link) => this.controlHandler.handle(body, link),
        onCall: call => this.handleTargetCall(call),
      },
    };
    this.peers = new transport.PeerPool(peerOptions);
    this.listener = new transport.PeerListener(peerOptions);
    this.coordination = daemonComponents.createCoordinationComponents(
      settings,
      this.identity,
      environment,
      this.metrics,
      daemonComponents.createStore(environment, this.metrics),
      this.peers,
    );
    this.load = daemonComponents.createLoadControlComponents(
      settings,
      environment,
      this.metrics,
      this.coordination.directory,
    );
    this.backendServerClient = new transport.BackendServerClient({
      clock,
      ...settings.backend_server,
    });
    this.healthTask = new healthTask.HealthTask({
      ...common,
      client: this.backendServerClient,
      healthPath: settings.backend_server.health_path,
      loadPath: settings.backend_server.load_path,
      onHealth: health => this.onBackendServerHealth(health),
      onLoad: (inFlight, slots) =>
        this.load.controller.noteReportedLoad(
          inFlight,
          slots,
          clock.monotonicMs(),
        ),
    });
    this.controlHandler = new coordination.ControlRequestHandler({
      ...common,
      ...this.coordination,
      incarnation: this.identity.incarnation,
      startedCalls: this.startedCalls,
      status: () => ({...this.status()}),
    });
    const handlers = callHandlers.createCallHandlers({
      service: settings.service,
      environment,
      metrics: this.metrics,
      peers: this.peers,
      coordination: this.coordination,
      loadControl: this.load,
      startedCalls: this.startedCalls,
      backendServer: this.backendServerClient,
      queueWeightOf: organisation =>
        this.queueWeights.weightOf(
          organisation,
          this.coordination.store.current?.index ?? null,
        ),
      refusalReason: () =>
        this.availability.refusalReason(environment.clock.monotonicMs()),
    });
    this.targetHandler = handlers.target;
    this.callerHandler = handlers.caller;
    this.departureTask = this.createDepartureTask();
    this.callerServer = new transport.CallerServer({
      ...common,
      handler: call => this.callerHandler.handle(call),
      limits: settingsFile.toCallerLimits(settings.limits),
    });
    this.operatorServer = new transport.OperatorServer({
      ...common,
      handlers: {
        alive: () => true,
        ready: () => this.ready,
        metrics: () => this.metrics.exposition(),
        status: () => this.status(),
        drain: () => this.beginStop(),
      },
    });
    this.coordination.store.onAdopted(({document, index}) =>
      this.onDocumentAdopted(document, index),
    );
  }

  /**
   * Whether load balancers should route callers to this daemon. Remains true
   * once the cell has been active: a view change pauses only parts of a cell,
   * but unready daemons would make a load balancer remove the whole cell.
   */
  get ready(): boolean {
    if (this.stopping) return false;
    const nowMs = this.environment.clock.monotonicMs();
    const membership = this.coordination.cell.membership;
    this.hasBeenReady ||=
      this.coordination.store.current !== null &&
      membership !== null &&
      membership.createPing(nowMs).active;
    return this.hasBeenReady;
  }

  /** Opens the ports and starts the tasks. Throws if a port is in use. */
  async start(): Promise<void> {
    const {listen} = this.settings;
    const {clock, logger} = this.environment;
    await this.listener.listen(listen.peer_port, listen.address);
    await this.operatorServer.listen(listen.operator_port, listen.address);
    await this.callerServer.listen(listen.caller_port, listen.address);
    this.load.controller.beginColdStart(clock.monotonicMs());
    const {signal} = this.taskAbort;
    const tasks: Readonly<
      Record<string, {run(s: AbortSignal): Promise<void>}>
    > = {
      admission: this.load.admission,
      cell: this.coordination.cell,
      configuration: this.coordination.configuration,
      health: this.healthTask,
      probes: this.coordination.probes,
    };
    for (const [task, {run}] of Object.entries(tasks)) {
      run.call(tasks[task], signal).catch((error: unknown) => {
        // Without one of its tasks, the daemon would act on stale state.
        logger.error('task-failed', {task, error: String(error)});
        this.finish(false);
      });
    }
    logger.info('daemon-started', {
      hostId: this.settings.host_id,
      incarnation: this.identity.incarnation,
    });
  }

  /** Begins the planned stop; `stopped` resolves when it has ended. */
  beginStop(): void {
    if (this.stopping) return;
    this.stopping = true;
    this.stop().catch((error: unknown) => {
      this.environment.logger.error('stop-failed', {error: String(error)});
      this.finish(false);
    });
  }

  private async stop(): Promise<void> {
    const {clock} = this.environment;
    const drainLimitMs = this.settings.limits.drain_seconds * 1_000;
    const drainTimer = new AbortController();
    void clock.delay(drainLimitMs, drainTimer.signal).then(() => {
      if (!drainTimer.signal.aborted) this.finish(false);
    });
    const callerCloseGrace = clock.delay(CALLER_CLOSE_GRACE_MS);
    await this.departureTask.run(drainLimitMs);
    await callerCloseGrace;
    // Requests that still run may make downstream calls through the caller
    // port, so it is closed after they have finished.
    while (this.runningTargetCalls > 0 && !this.taskAbort.signal.aborted) {
      await clock.delay(STOP_CHECK_INTERVAL_MS);
    }
    await this.callerServer.stop();
    this.taskAbort.abort();
    await Promise.all([
      this.peers.closeWhenIdle(),
      this.listener.closeWhenIdle(),
      this.operatorServer.stop(),
    ]);
    drainTimer.abort();
    this.finish(true);
  }

  private finish(complete: boolean): void {
    this.taskAbort.abort();
    this.resolveStopped(complete);
  }

  private async handleTargetCall(call: transport.IncomingCall): Promise<void> {
    this.runningTargetCalls++;
    try {
      await this.targetHandler.handle(call);
    } finally {
      this.runningTargetCalls--;
    }
  }

  private createDepartureTask(): coordination.DepartureTask {
    const {clock, logger} = this.environment;
    return new coordination.DepartureTask({
      clock,
      logger,
      hostId: this.settings.host_id,
      links: () => [...this.peers.connections, ...this.listener.connections],
      cell: this.coordination.cell,
      limits: this.coordination.limits,
      stopAccepting: () => {
        this.availability.beginStop(clock.monotonicMs());
        this.callerServer.beginStop();
      },
      runningCalls: () => this.runningTargetCalls,
    });
  }

  private onBackendServerHealth(health: healthTask.BackendServerHealth): void {
    const {hostId} = this.identity.self;
    const nowMs = this.environment.clock.monotonicMs();
    if (health === 'up') this.load.controller.beginColdStart(nowMs);
    this.availability.setHealth(health, nowMs);
    if (this.stopping) return;
    const withdrawn = health !== 'leaving';
    const {directory} = this.coordination;
    if (withdrawn) directory.withdrawLeaving(hostId);
    else directory.noteLeaving(hostId, null, 'backendHealth', nowMs);
    const links = [...this.peers.connections, ...this.listener.connections];
    for (const link of links) {
      // A peer that misses this notice is informed by its next refused call.
      link
        .request({kind: 'leaving', hostId, withdrawn}, 1_000)
        .catch(() => undefined);
    }
  }

  private onDocumentAdopted(
    document: declaration.PublishedDocument,
    index: declaration.DocumentIndex,
  ): void {
    this.load.controller.setLimits(index.servicePolicy(this.settings.service));
    this.queueWeights.setDocument(document);
  }

  private status(): daemonStatus.DaemonStatus {
    return daemonStatus.createStatus(
      {
        settings: this.settings,
        incarnation: this.identity.incarnation,
        coordination: this.coordination,
        controller: this.load.controller,
        callerCalls: this.callerHandler.runningCount,
        backendServer: this.healthTask.health,
        stopping: this.stopping,
      },
      this.environment.clock.monotonicMs(),
    );
  }
}
