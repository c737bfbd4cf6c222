import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as runtime from '@camphorwharf/runtime';
import type * as coldStartMonitor from './cold-start-monitor.js';
import type * as clientLimits from './client-limits.js';
import type * as httpBinding from './http-binding.js';
import type * as publishedState from './published-state.js';

export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

export interface HostDaemonSettings {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly service: string;
  /** Where clients of this host and its backend server send requests. */
  readonly callers: Endpoint;
  readonly readiness: Endpoint;
  readonly peers: Endpoint;
  readonly metrics: Endpoint;
  readonly backendServer: Endpoint;
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** Read rate limit of the platform, shared by all hosts. */
  readonly platformReadsPerSecond: number;
  /** Interval at which backend servers renew their entries, in milliseconds. */
  readonly entryRenewalMs: number;
  /** Time for which a draining backend server still serves requests. */
  readonly drainMs: number;
  /**
   * Time from the acknowledgement of a zone's evacuation by the store until it
   * must be in force at every host.
   */
  readonly evacuationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopLimitMs: number;
  /** Memory that this process may use, in bytes. */
  readonly memoryBytes: number;
  readonly clientLimits: clientLimits.ClientLimits;
  readonly retryBudget: fleetLimits.RetryBudgetSettings;
  readonly coldStartBound: coldStartMonitor.ColdStartBound;
  /**
   * Whether requests are admitted by their learned costs at saturated services.
   * Otherwise all requests of a service are shed alike.
   */
  readonly costAdmission?: boolean;
  /**
   * Requests of routes with a lower probability of success are refused, from 0
   * to 0.5; 0 or absent: none.
   */
  readonly minimumSuccess?: number;
}

export interface HostDaemonOptions {
  readonly settings: HostDaemonSettings;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  /** Monotonic time at which the process started, before its code was loaded. */
  readonly processStartedMs: number;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly binding: httpBinding.HttpBinding;
  readonly decoder: publishedState.StateDecoder;
  readonly reader: publishedState.StateReader;
}
