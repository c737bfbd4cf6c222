import * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as callPaths from './call-paths.js';
import type * as callerPath from './caller-path.js';
import * as daemonParts from './daemon-parts.js';
import * as daemonStatus from './daemon-status.js';
import * as healthTask from './health-task.js';
import type * as settingsFile from './settings.js';
import * as targetAvailability from './target-availability.js';
import type * as targetPath from './target-path.js';

/**
 * Time for which a stopping daemon still serves callers, with answers that
 * end their connections, before it closes what is idle.
 */
const CALLER_GRACE_MS = 2_000;

const STOP_CHECK_INTERVAL_MS = 25;

/** Weight of calls without an organisation while none is declared. */
const DEFAULT_WEIGHT = 1;

/** One daemon: its servers, clients and tasks. */
export class Daemon {
  /** Resolves when the planned stop has ended; false when it cut calls. */
  readonly stopped: Promise<boolean>;
  private readonly identity: daemonParts.DaemonIdentity;
  private readonly metrics = new runtime.Metrics();
  private readonly register = new ownership.CallRegister();
  private readonly tasks = new AbortController();
  private readonly peers: transport.PeerPool;
  private readonly listener: transport.PeerListener;
  private readonly callers: transport.CallerServer;
  private readonly operators: transport.OperatorServer;
  private readonly backendServer: transport.BackendServerClient;
  private readonly parts: daemonParts.CoordinationParts;
  private readonly load: daemonParts.LoadParts;
  private readonly health: healthTask.HealthTask;
  private readonly control: coordination.ControlRequestHandler;
  private readonly target: targetPath.TargetPath;
  private readonly callerPath: callerPath.CallerPath;
  private readonly departure: coordination.DepartureTask;
  private stopping = false;
  private hasBeenReady = false;
  private readonly availability = new targetAvailability.TargetAvailability();
  private targetCalls = 0;
  private openRouteWeight = DEFAULT_WEIGHT;
  private resolveStopped: (complete: boolean) => void = () => undefined;

  constructor(
    private readonly settings: settingsFile.Settings,
    private readonly environment: daemonParts.DaemonEnvironment,
  ) {
    const {clock, random, logger} = environment;
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.identity = {
      self: daemonParts.selfEntry(settings),
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
        onRequest: (body, link) => this.control.handle(body, link),
        onCall: call => this.serveTarget(call),
      },
    };
    this.peers = new transport.PeerPool(peerOptions);
    this.listener = new transport.PeerListener(peerOptions);
    this.parts = daemonParts.createCoordination(
      settings,
      this.identity,
      environment,
      this.metrics,
      daemonParts.createStore(environment, this.metrics),
      this.peers,
    );
    this.load = daemonParts.createLoadParts(
      settings,
      environment,
      this.metrics,
      this.parts.directory,
    );
    this.backendServer = new transport.BackendServerClient({
      clock,
      ...settings.backend_server,
    });
    this.health = new healthTask.HealthTask({
      ...common,
      client: this.backendServer,
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
    this.control = new coordination.ControlRequestHandler({
      ...common,
      ...this.parts,
      incarnation: this.identity.incarnation,
      startedCalls: this.register,
      status: () => ({...this.status()}),
    });
    const paths = callPaths.createCallPaths({
      service: settings.service,
      environment,
      metrics: this.metrics,
      peers: this.peers,
      coordination: this.parts,
      load: this.load,
      register: this.register,
      backendServer: this.backendServer,
      weightOf: organisation => this.weightOf(organisation),
      closedReason: () =>
        this.availability.closedReason(environment.clock.monotonicMs()),
    });
    this.target = paths.target;
    this.callerPath = paths.caller;
    this.departure = this.createDeparture();
    this.callers = new transport.CallerServer({
      ...common,
      handler: call => this.callerPath.handle(call),
      maximumConnections: settings.limits.caller_connections,
    });
    this.operators = new transport.OperatorServer({
      logger,
      handlers: {
        alive: () => true,
        ready: () => this.ready,
        metrics: () => this.metrics.exposition(),
        status: () => this.status(),
        drain: () => this.beginStop(),
      },
    });
    this.parts.store.onAdopted(({document, index}) =>
      this.onDocument(document, index),
    );
  }

  /**
   * Whether callers should be sent here. Once its cell has acted, a daemon
   * stays ready: each change of the view pauses parts of a cell only, and a
   * load balancer would otherwise drop the whole cell.
   */
  get ready(): boolean {
    if (this.stopping) return false;
    const nowMs = this.environment.clock.monotonicMs();
    const membership = this.parts.cell.membership;
    this.hasBeenReady ||=
      this.parts.store.current !== null &&
      membership !== null &&
      membership.createPing(nowMs).active;
    return this.hasBeenReady;
  }

  /** Opens the ports and starts the tasks. Throws when a port is taken. */
  async start(): Promise<void> {
    const {listen} = this.settings;
    const {clock, logger} = this.environment;
    await this.listener.listen(listen.peer_port, listen.address);
    await this.operators.listen(listen.operator_port, listen.address);
    await this.callers.listen(listen.caller_port, listen.address);
    this.load.controller.beginColdStart(clock.monotonicMs());
    const {signal} = this.tasks;
    const tasks: Readonly<
      Record<string, {run(s: AbortSignal): Promise<void>}>
    > = {
      admission: this.load.admission,
      cell: this.parts.cell,
      configuration: this.parts.configuration,
      health: this.health,
      probes: this.parts.probes,
    };
    for (const [task, {run}] of Object.entries(tasks)) {
      run.call(tasks[task], signal).catch((error: unknown) => {
        // A daemon without one of its tasks would act on old state.
        logger.error('task-failed', {task, error: String(error)});
        this.finish(false);
      });
    }
    logger.info('daemon-started', {
      hostId: this.settings.host_id,
      incarnation: this.identity.incarnation,
    });
  }

  /** Begins the planned stop; `stopped` tells when it has ended. */
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
    const limitMs = this.settings.limits.drain_seconds * 1_000;
    const timer = new AbortController();
    void clock.delay(limitMs, timer.signal).then(() => {
      if (!timer.signal.aborted) this.finish(false);
    });
    const grace = clock.delay(CALLER_GRACE_MS);
    await this.departure.run(limitMs);
    await grace;
    // Downstream calls of the last running requests arrive on the port for
    // callers, so it closes after them.
    while (this.targetCalls > 0 && !this.tasks.signal.aborted) {
      await clock.delay(STOP_CHECK_INTERVAL_MS);
    }
    await this.callers.stop();
    this.tasks.abort();
    await Promise.all([
      this.peers.closeWhenIdle(),
      this.listener.closeWhenIdle(),
      this.operators.stop(),
    ]);
    timer.abort();
    this.finish(true);
  }

  private finish(complete: boolean): void {
    this.tasks.abort();
    this.resolveStopped(complete);
  }

  private async serveTarget(call: transport.IncomingCall): Promise<void> {
    this.targetCalls++;
    try {
      await this.target.handle(call);
    } finally {
      this.targetCalls--;
    }
  }

  private createDeparture(): coordination.DepartureTask {
    const {clock, logger} = this.environment;
    return new coordination.DepartureTask({
      clock,
      logger,
      hostId: this.settings.host_id,
      links: () => [...this.peers.connections, ...this.listener.connections],
      cell: this.parts.cell,
      limits: this.parts.limits,
      stopAccepting: () => {
        this.availability.beginLeaving(clock.monotonicMs());
        this.callers.beginStop();
      },
      runningCalls: () => this.targetCalls,
    });
  }

  private onBackendServerHealth(health: healthTask.BackendServerHealth): void {
    const {hostId} = this.identity.self;
    const nowMs = this.environment.clock.monotonicMs();
    if (health === 'up') this.load.controller.beginColdStart(nowMs);
    this.availability.setHealth(health, nowMs);
    if (this.stopping) return;
    const withdrawn = health !== 'leaving';
    const {directory} = this.parts;
    if (withdrawn) directory.withdrawLeaving(hostId);
    else directory.noteLeaving(hostId, null, 'backendHealth', nowMs);
    const links = [...this.peers.connections, ...this.listener.connections];
    for (const link of links) {
      // Peers that miss the notice learn it from the next refusal.
      link
        .request({kind: 'leaving', hostId, withdrawn}, 1_000)
        .catch(() => undefined);
    }
  }

  private onDocument(
    document: declaration.PublishedDocument,
    index: declaration.DocumentIndex,
  ): void {
    this.load.controller.setLimits(index.servicePolicy(this.settings.service));
    // Calls without a key share the target like the smallest organisation.
    this.openRouteWeight = Math.min(
      ...document.organisations.map(({ratePerSecond}) => ratePerSecond),
      Number.MAX_SAFE_INTEGER,
    );
  }

  private weightOf(organisation: string | null): number {
    if (organisation === null) return this.openRouteWeight;
    const index = this.parts.store.current?.index;
    return index?.organisation(organisation)?.ratePerSecond ?? DEFAULT_WEIGHT;
  }

  private status(): daemonStatus.DaemonStatus {
    return daemonStatus.reportStatus(
      {
        settings: this.settings,
        incarnation: this.identity.incarnation,
        coordination: this.parts,
        controller: this.load.controller,
        callerCalls: this.callerPath.running,
        backendServer: this.health.health,
        stopping: this.stopping,
      },
      this.environment.clock.monotonicMs(),
    );
  }
}
