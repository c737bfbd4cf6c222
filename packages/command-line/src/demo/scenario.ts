import * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import * as standIns from '@camphorwharf/stand-ins';
import * as checks from './checks.js';
import type * as deployments from './deployments.js';
import type * as fleets from './fleet.js';
import * as observations from './observations.js';
import * as phaseMetrics from './phase-metrics.js';
import type * as processSet from './process-set.js';
import type * as reports from './report.js';
import * as requests from './requests.js';

/** One phase of the demo and its load. */
interface Phase {
  readonly name: string;
  readonly seconds: number;
  /** Arrival rate as a multiple of the deployment's normal rate. */
  readonly load: number;
  /** Called after the load has started. */
  readonly onLoadStart?: () => Promise<void>;
}

/** Time limit for every daemon to refuse a key after its revocation. */
const REVOCATION_BOUND_MS = 6_000;
const MS_PER_SECOND = 1_000;
const NORMAL_PHASE = 'normal';
/** Delay until callers stop using a host that has left. */
const HOST_LIST_LAG_MS = 1_000;

/** Runs the phases and checks of the demo on a fleet that is ready. */
export class DemoScenario {
  private readonly observations: observations.Observations;
  private readonly phases: phaseMetrics.PhaseResult[] = [];
  private readonly checkResults: checks.CheckResult[] = [];
  private readonly refusedKeys = new Set<string>();
  /** Hosts that callers must no longer use. */
  private readonly excludedHostIds = new Set<string>();
  private seedOffset = 0;

  constructor(
    private readonly deployment: deployments.DemoDeployment,
    private readonly fleet: fleets.DemoFleet,
    private readonly processes: processSet.ProcessSet,
    private document: declaration.PublishedDocument,
    private readonly clock: runtime.Clock,
    private readonly seed: number,
    private readonly progress: (message: string) => void,
  ) {
    this.observations = new observations.Observations(clock.monotonicMs(), () =>
      clock.monotonicMs(),
    );
  }

  async run(): Promise<reports.DemoReport> {
    await this.checkAuthentication();
    // Warm-up: processes compile their code, token buckets fill, and targets
    // adapt their concurrency limits before the measured phases.
    await this.runPhase({name: 'start', seconds: 8, load: 0.5});
    await this.runPhase({name: NORMAL_PHASE, seconds: 4, load: 1});
    await this.runOverloadPhases();
    await this.checkRateLimit();
    await this.checkKeyRevocation();
    await this.checkDrain();
    await this.runDaemonLossPhase();
    await this.checkInvariants();
    return {
      deployment: this.deployment.name,
      seed: this.seed,
      phases: this.phases,
      checks: this.checkResults,
      measures: phaseMetrics.computePhaseMetrics(this.phases),
      observations: this.observations,
    };
  }

  private async runOverloadPhases(): Promise<void> {
    const {slowService, slowFactor} = this.deployment;
    const setSlowDown = (factor: number) => () =>
      this.controlService(slowService, {slowDown: factor});
    await this.runPhase({
      name: `${slowService} slowed down ${slowFactor} times`,
      seconds: 6,
      load: 1.5,
      onLoadStart: setSlowDown(slowFactor),
    });
    await setSlowDown(1)();
    const restoredAtMs = this.clock.monotonicMs();
    await this.runPhase({name: `${slowService} healed`, seconds: 4, load: 1});
    const normal =
      this.phases.find(({name}) => name === NORMAL_PHASE)?.completedPerSecond ??
      0;
    const recoveryMs = this.observations.recoveryMs(restoredAtMs, 0.9 * normal);
    this.checkResults.push({
      name: 'goodput is back within 2 s after the cause ended',
      passed: recoveryMs !== null && recoveryMs <= 2 * MS_PER_SECOND,
      seen: recoveryMs === null ? 'not within the phase' : `${recoveryMs} ms`,
    });
  }

  /** Sends at least three times the rate of the smallest organisation. */
  private async checkRateLimit(): Promise<void> {
    const smallest = [...this.document.organisations].sort(
      (left, right) => left.ratePerSecond - right.ratePerSecond,
    )[0];
    const offeredPerSecond = Math.max(200, 3 * smallest.ratePerSecond);
    const seconds = 4;
    const results = await this.generateLoad({
      requestsPerSecond: offeredPerSecond,
      seconds,
      organisations: [requests.toLoadOrganisation(smallest, 1)],
      requests: [this.deployment.requests[0]],
    });
    // The token bucket refills until the generator's last call has ended.
    const windowSeconds = results.elapsedMs / MS_PER_SECOND;
    const bound = smallest.ratePerSecond * windowSeconds + smallest.burst;
    const completed = results.count('completed');
    this.checkResults.push({
      name: `${smallest.name} stays within rate and burst at ${offeredPerSecond}/s`,
      passed:
        completed <= bound && results.outcomes['notRun/limitExceeded'] > 0,
      seen: `${completed} completed, bound ${bound.toFixed(0)}`,
    });
  }

  private async checkKeyRevocation(): Promise<void> {
    const revoked = this.document.organisations[0];
    const nextDocument: declaration.PublishedDocument = {
      ...this.document,
      revision: this.document.revision + 1,
      organisations: this.document.organisations.map(organisation =>
        organisation === revoked
          ? {...organisation, keyHashes: ['0'.repeat(64)]}
          : organisation,
      ),
    };
    this.observations.addMark(`key of ${revoked.name} revoked`);
    this.progress(`revoking the key of ${revoked.name}`);
    await this.fleet.publishDocument(nextDocument);
    const startMs = this.clock.monotonicMs();
    const call = this.deployment.requests[0];
    const key = `${revoked.name}-demo-key`;
    let refusedEverywhere = false;
    while (this.clock.monotonicMs() - startMs < REVOCATION_BOUND_MS) {
      const statusCodes = await Promise.all(
        this.fleet
          .callerUrls()
          .map(base =>
            requests.getStatusCode(`${base}/${call.service}${call.path}`, key),
          ),
      );
      refusedEverywhere = statusCodes.every(status => status === 401);
      if (refusedEverywhere) break;
      await this.clock.delay(20);
    }
    const elapsedMs = Math.round(this.clock.monotonicMs() - startMs);
    this.checkResults.push({
      name: 'a revoked key is refused by every daemon within 6 s',
      passed: refusedEverywhere,
      seen: refusedEverywhere ? `${elapsedMs} ms` : 'still accepted',
    });
    this.document = nextDocument;
  }

  private async checkDrain(): Promise<void> {
    const host = this.fleet.hostsOfService(this.deployment.slowService)[0];
    let exitCode: number | null = null;
    const result = await this.runPhase({
      name: `${host.entry.hostId} drained`,
      seconds: 5,
      load: 1,
      onLoadStart: async () => {
        const exitPromise = this.processes.stop(host.daemon!, 'SIGTERM');
        // Callers learn of the departure from the host list after a delay.
        await this.clock.delay(HOST_LIST_LAG_MS);
        this.excludedHostIds.add(host.entry.hostId);
        exitCode = await exitPromise;
        await this.fleet.publishHosts(this.excludedHostIds);
      },
    });
    const interruptedCount = ['unknown', 'transportError', 'wrongAnswer']
      .map(kind => requests.countOutcomesOfKind(result.outcomes, kind))
      .reduce((sum, count) => sum + count, 0);
    this.checkResults.push({
      name: 'a drained host cuts no request and ends with code 0',
      passed: interruptedCount === 0 && exitCode === 0,
      seen: `${interruptedCount} cut, exit code ${String(exitCode)}`,
    });
  }

  private async runDaemonLossPhase(): Promise<void> {
    const host = this.fleet.hostsOfService(this.deployment.services[0].name)[0];
    await this.runPhase({
      name: `${host.entry.hostId} lost`,
      seconds: 6,
      load: 1,
      onLoadStart: async () => {
        await this.processes.stop(host.daemon!, 'SIGKILL');
        await this.clock.delay(HOST_LIST_LAG_MS);
        this.excludedHostIds.add(host.entry.hostId);
        await this.fleet.publishHosts(this.excludedHostIds);
      },
    });
  }

  private async checkAuthentication(): Promise<void> {
    const request = this.deployment.requests[0];
    const base = `${this.fleet.callerUrls()[0]}/${request.service}`;
    const unknownKey = await requests.getStatusCode(
      `${base}${request.path}`,
      'no-such-key',
    );
    const noKey = await requests.getStatusCode(`${base}${request.path}`, null);
    this.checkResults.push({
      name: 'a call with an unknown or no key is refused',
      passed: unknownKey === 401 && noKey === 401,
      seen: `status ${unknownKey} and ${noKey}`,
    });
  }

  private async checkInvariants(): Promise<void> {
    const reports = (await Promise.all(
      this.fleet.hosts.map(host => this.fleet.controlBackendServer(host, {})),
    )) as unknown as standIns.BackendServerReport[];
    this.checkResults.push(
      ...checks.checkBackendServers(reports),
      checks.checkFalseRefusals(this.refusedKeys, reports),
    );
  }

  private async controlService(
    service: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await Promise.all(
      this.fleet
        .hostsOfService(service)
        .map(host => this.fleet.controlBackendServer(host, body)),
    );
  }

  private async runPhase(phase: Phase): Promise<phaseMetrics.PhaseResult> {
    this.progress(`phase "${phase.name}" (${phase.seconds} s)`);
    this.observations.addMark(phase.name);
    const requestsPerSecond = this.deployment.requestsPerSecond * phase.load;
    const pendingResults = this.generateLoad({
      requestsPerSecond,
      seconds: phase.seconds,
      organisations: this.document.organisations
        .filter(({keyHashes}) => !keyHashes.includes('0'.repeat(64)))
        .map(organisation =>
          requests.toLoadOrganisation(organisation, organisation.ratePerSecond),
        ),
      requests: this.deployment.requests,
    });
    await phase.onLoadStart?.();
    const results = await pendingResults;
    const latency = results.latency();
    const result: phaseMetrics.PhaseResult = {
      name: phase.name,
      offeredPerSecond: requestsPerSecond,
      completedPerSecond: results.count('completed') / phase.seconds,
      p50Ms: latency.p50,
      p99Ms: latency.p99,
      outcomes: results.outcomes,
      perOrganisation: results.perOrganisation,
    };
    this.phases.push(result);
    return result;
  }

  private async generateLoad(options: {
    readonly requestsPerSecond: number;
    readonly seconds: number;
    readonly organisations: readonly standIns.LoadOrganisation[];
    readonly requests: readonly standIns.LoadRequest[];
  }): Promise<standIns.LoadResults> {
    const generator = new standIns.LoadGenerator({
      entryUrls: () => this.fleet.callerUrls(this.excludedHostIds),
      organisations: options.organisations,
      requests: options.requests,
      requestsPerSecond: options.requestsPerSecond,
      durationMs: options.seconds * MS_PER_SECOND,
      seed: this.seed * 100 + this.seedOffset++,
      clock: this.clock,
      onSample: sample => {
        this.observations.addSample(sample);
        if (
          sample.outcome.kind === 'notRun' &&
          sample.idempotencyKey !== null
        ) {
          this.refusedKeys.add(
            `${sample.organisation}|${sample.idempotencyKey}`,
          );
        }
      },
    });
    return generator.run();
  }
}
