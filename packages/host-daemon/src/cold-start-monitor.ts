import * as admission from '@camphorwharf/admission';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as coldStartState from './cold-start-state.js';

/** Interval of the health checks between events; each costs the operator. */
const CHECK_INTERVAL_MS = 1_000;

/** Interval after a failed check of a server whose state is unknown. */
const FAILURE_INTERVAL_MS = 250;

/** Minimum time between the starts of two checks. */
const MINIMUM_INTERVAL_MS = 100;

/** Time that a check is expected to take. */
const EXPECTED_CHECK_MS = 100;

/** Time without a round of the task after which this process stood still. */
const STANDSTILL_MS = 3_000;

/** Interval of the rounds of the task without a cold limit. */
const IDLE_INTERVAL_MS = 60_000;

/** Maximum number of instances kept that calls have named. */
const MAXIMUM_NAMED = 64;

/** Cold time to report to senders while no health check succeeds. */
const MAXIMUM_UNSHOWN_REPORT_MS = 1_000;

/** In force until the configuration is known. */
const INITIAL_LIMIT: admission.ColdStartLimitSettings = {
  perSecond: 5,
  maximumPerSecond: 7,
};

/** Limit on the requests of a cold server, relative to what it tolerates. */
export interface ColdStartBound {
  readonly overage: number;
  /** Requests per second. */
  readonly slack: number;
}

/** What the daemon of a cold server reports to senders. */
export interface ColdReport {
  readonly coldRemainingMs: number;
  readonly startsPerSecond: number;
}

export interface ColdStartMonitorOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly bound: ColdStartBound;
  /** Resolves with null if the check fails or takes too long. */
  readonly check: (
    healthPath: string,
  ) => Promise<coldStartState.HealthReport | null>;
}

/**
 * Decides whether the local backend server is cold, and puts its limit in
 * force. Services without a cold limit are not checked or limited.
 */
export class ColdStartMonitor {
  readonly limit = new admission.ColdStartLimit(INITIAL_LIMIT);
  private readonly state = new coldStartState.ColdStartState();
  private readonly startedMs: number;
  /** Undefined until the configuration is known; null without a cold limit. */
  private service: routing.ServiceSettings | null | undefined = undefined;
  /** Null while the server is warm. */
  private coldSinceMs: number | null = null;
  /** Instances that calls have named, other than the listed one. */
  private readonly named = new Set<string>();
  private lastCheckMs = -Infinity;
  private nextCheckMs = Infinity;
  private verdictDueMs = -Infinity;
  private validUntilMs = Infinity;
  /** Whether the service has had a cold limit, so that there are gauges. */
  private isExported = false;
  private wake = new runtime.CancelSource();

  constructor(private readonly options: ColdStartMonitorOptions) {
    this.startedMs = options.clock.monotonicMs();
    // Calls of peers may arrive before the configuration.
    this.limit.keepValidUntil(-Infinity);
  }

  /** Applies the settings of the service; null if it has none. */
  configure(service: routing.ServiceSettings | null, nowMs: number): void {
    const coldStart = service?.coldStart ?? null;
    const previous = this.service;
    this.service = coldStart && service;
    if (!coldStart) {
      this.state.clear();
      this.limit.end();
      this.limit.keepValidUntil(Infinity);
      this.validUntilMs = this.nextCheckMs = Infinity;
      if (this.coldSinceMs !== null) this.noteWarm('limitRemoved', nowMs);
      return;
    }
    const {perSecond, durationMs} = coldStart;
    const {overage, slack} = this.options.bound;
    const maximumPerSecond = perSecond * overage + slack;
    this.limit.configure({perSecond, maximumPerSecond});
    this.state.setDuration(durationMs);
    if (previous) return;
    this.keepValid(nowMs);
    const cause = previous === null ? 'limitConfigured' : 'daemonStarted';
    this.treatAsCold(cause, nowMs);
  }

  /** Applies the platform's entry for the local backend server. */
  noteListed(entry: coldStartState.ListedServer, nowMs: number): void {
    const cause = this.state.noteEntry(entry, nowMs);
    if (!this.service) this.state.clear();
    else if (cause) this.checkSoon(cause, nowMs);
  }

  /**
   * Treats the server as cold until a health check that begins from now on
   * shows otherwise.
   */
  treatAsCold(cause: coldStartState.ColdCause, nowMs: number): void {
    if (!this.service) return;
    const eventMs = cause === 'daemonStarted' ? this.startedMs : nowMs;
    this.state.noteEvent(eventMs, nowMs);
    this.checkSoon(cause, nowMs);
  }

  /**
   * Notes the instance that a call names. A sender may have learned of a new
   * instance before this daemon has.
   */
  noteCall(instance: string, nowMs: number): void {
    if (instance === this.state.instance || this.named.has(instance)) return;
    if (this.named.size >= MAXIMUM_NAMED) this.named.clear();
    this.named.add(instance);
    this.treatAsCold('newInstance', nowMs);
  }

  /** What to report to senders; null if the server is warm. */
  report(nowMs: number): ColdReport | null {
    // Otherwise senders would avoid a warm server for one lost connection.
    if (!this.service) return null;
    if (!this.state.isShown && nowMs < this.verdictDueMs) return null;
    const remainingMs = this.state.coldUntilMs - nowMs;
    if (remainingMs <= 0) return null;
    return {
      coldRemainingMs: this.state.isShown
        ? remainingMs
        : Math.min(remainingMs, MAXIMUM_UNSHOWN_REPORT_MS),
      startsPerSecond: this.limit.perSecond,
    };
  }

  exportMetrics(): void {
    this.isExported ||= Boolean(this.service);
    if (!this.isExported) return;
    const nowMs = this.options.clock.monotonicMs();
    const remainingMs = Math.max(0, this.state.coldUntilMs - nowMs);
    const {metrics} = this.options;
    metrics.gauge(
      'backend_server_cold',
      'Whether the local backend server is treated as cold.',
      remainingMs > 0 ? 1 : 0,
    );
    metrics.gauge(
      'backend_server_cold_seconds_left',
      'Time until the local backend server is warm, in seconds.',
      remainingMs / 1_000,
    );
  }

  /** Runs until the signal aborts. */
  async run(stop: AbortSignal): Promise<void> {
    const {clock} = this.options;
    stop.addEventListener('abort', () => this.wake.abort());
    while (!stop.aborted) {
      const nowMs = clock.monotonicMs();
      this.tick(nowMs);
      if (nowMs >= this.nextCheckMs) {
        await this.checkHealth(nowMs);
        continue;
      }
      const coldMs = this.state.coldUntilMs - nowMs;
      const delayMs = Math.min(
        this.nextCheckMs - nowMs,
        coldMs > 0 ? coldMs : Infinity,
        IDLE_INTERVAL_MS,
      );
      await clock.delay(delayMs, this.wake);
      if (!stop.aborted) this.wake = new runtime.CancelSource();
    }
  }

  private tick(nowMs: number): void {
    if (!this.service) return;
    const hasStoodStill = nowMs >= this.validUntilMs;
    // First, as the limit begins anew only if it is not in force.
    this.keepValid(nowMs);
    if (hasStoodStill) this.treatAsCold('standstill', nowMs);
    if (this.coldSinceMs !== null && nowMs >= this.state.coldUntilMs) {
      this.noteWarm('time', nowMs);
    }
  }

  private keepValid(nowMs: number): void {
    this.validUntilMs = nowMs + STANDSTILL_MS;
    this.limit.keepValidUntil(this.validUntilMs);
  }

  private async checkHealth(startedMs: number): Promise<void> {
    const {service, state} = this;
    if (!service) return;
    const {check, clock, metrics} = this.options;
    this.lastCheckMs = startedMs;
    this.nextCheckMs = startedMs + CHECK_INTERVAL_MS;
    const report = await check(service.healthPath);
    const nowMs = clock.monotonicMs();
    const verdict = state.noteCheck(report, startedMs, nowMs);
    metrics.count(
      'health_checks_total',
      'Health checks of the local backend server, by result.',
      {result: verdict},
    );
    if (!this.service) return;
    switch (verdict) {
      case 'warm':
        this.limit.end();
        this.verdictDueMs = -Infinity;
        if (this.coldSinceMs !== null) this.noteWarm('healthCheck', nowMs);
        return;
      case 'cold':
        this.verdictDueMs = -Infinity;
        this.applyCold('healthCheck', nowMs);
        return;
      case 'failed':
      case 'withoutColdTime':
        if (!state.isShown && nowMs < state.coldUntilMs) {
          const dueMs = nowMs + FAILURE_INTERVAL_MS;
          this.nextCheckMs = Math.min(this.nextCheckMs, dueMs);
        }
        return;
      case 'outdated':
        return;
    }
  }

  /** Checks the server as soon as possible, as it may be cold. */
  private checkSoon(cause: coldStartState.ColdCause, nowMs: number): void {
    const dueMs = Math.max(nowMs, this.lastCheckMs + MINIMUM_INTERVAL_MS);
    this.nextCheckMs = Math.min(this.nextCheckMs, dueMs);
    if (this.coldSinceMs === null) {
      this.verdictDueMs = dueMs + EXPECTED_CHECK_MS;
    }
    this.applyCold(cause, nowMs);
    this.wake.abort();
  }

  private applyCold(cause: coldStartState.ColdCause, nowMs: number): void {
    const {coldUntilMs, instance, isShown} = this.state;
    this.limit.begin(coldUntilMs, this.verdictDueMs, nowMs);
    if (this.coldSinceMs !== null) return;
    this.coldSinceMs = nowMs;
    this.options.logger.info('cold-start-begun', {
      cause,
      instance,
      remainingMs: Math.round(coldUntilMs - nowMs),
      isShown,
    });
  }

  private noteWarm(
    shownBy: 'healthCheck' | 'time' | 'limitRemoved',
    nowMs: number,
  ): void {
    const sinceMs = this.coldSinceMs ?? nowMs;
    this.coldSinceMs = null;
    this.options.logger.info('cold-start-ended', {
      shownBy,
      instance: this.state.instance,
      elapsedMs: Math.round(nowMs - sinceMs),
    });
  }
}
