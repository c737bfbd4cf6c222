import type * as fleetLimits from '@camphorwharf/fleet-limits';
import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as coldStartMonitor from './cold-start-monitor.js';
import * as healthChecker from './health-checker.js';
import type * as fleetState from './fleet-state.js';
import type * as hostDaemonOptions from './host-daemon-options.js';
import type * as localTargetState from './local-target-state.js';

/** Connects the monitor of the local backend server's cold starts to a daemon. */
export class ColdStartTask {
  readonly monitor: coldStartMonitor.ColdStartMonitor;
  private readonly checker: healthChecker.HealthChecker;

  constructor(private readonly options: hostDaemonOptions.HostDaemonOptions) {
    const {binding, clock, settings} = options;
    this.checker = new healthChecker.HealthChecker(
      clock,
      binding,
      settings.backendServer,
    );
    this.monitor = new coldStartMonitor.ColdStartMonitor({
      ...options,
      bound: settings.coldStartBound,
      check: healthPath => this.checker.check(healthPath),
    });
  }

  applyConfiguration(
    {services}: routing.FleetConfiguration,
    nowMs: number,
  ): void {
    const {service} = this.options.settings;
    const settings = services.find(({name}) => name === service) ?? null;
    this.monitor.configure(settings, nowMs);
  }

  /** Applies the platform's entry for the local backend server. */
  applyServers(
    directory: routing.BackendServerDirectory,
    {listed}: Pick<localTargetState.LocalTargetState, 'listed'>,
    nowMs: number,
  ): void {
    if (!listed) return;
    const coldUntilMs = directory.coldUntilMs(listed.instance);
    this.monitor.noteListed({...listed, coldUntilMs}, nowMs);
  }

  noteConnectionLost(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.monitor.treatAsCold('connectionLost', nowMs);
  }

  close(): void {
    this.checker.close();
  }
}

/** Creates the part that this host has of the rates of cold servers. */
export function createColdCapacity(
  random: runtime.RandomSource,
  members: Pick<fleetLimits.FleetMembers, 'count'>,
  state: () => Pick<fleetState.FleetState, 'index'>,
): routing.ColdCapacity {
  return new routing.ColdCapacity({
    random,
    senderCount: () => members.count,
    perSecond: service =>
      state().index?.service(service)?.coldStart?.perSecond ?? null,
  });
}
