import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as coldStartState from './cold-start-state.js';
import type * as hostDaemonOptions from './host-daemon-options.js';
import type * as httpBinding from './http-binding.js';

/** A check that takes longer has failed. */
export const HEALTH_CHECK_TIMEOUT_MS = 400;

/** The connection of a check that hangs, and that of the next one. */
const MAXIMUM_CONNECTIONS = 2;

/** Each check opens a connection, which a restart cannot have closed. */
const NO_REUSE_MS = -1;

/**
 * Requests the health path of the local backend server, on connections of its
 * own, so that checks do not wait behind calls.
 */
export class HealthChecker {
  private readonly client: transport.BufferedExchangeClient;

  constructor(
    private readonly clock: runtime.Clock,
    private readonly binding: httpBinding.HttpBinding,
    backendServer: hostDaemonOptions.Endpoint,
  ) {
    this.client = new transport.BufferedExchangeClient({
      ...backendServer,
      nowMs: () => clock.monotonicMs(),
      maximumConnections: () => MAXIMUM_CONNECTIONS,
    });
  }

  /** Resolves with null if there is no complete response in time. */
  async check(healthPath: string): Promise<coldStartState.HealthReport | null> {
    const exchange = this.client.send({
      method: 'GET',
      path: healthPath,
      headers: [],
      body: null,
      contentLength: null,
      maximumIdleMs: NO_REUSE_MS,
    });
    const end = new AbortController();
    void this.clock
      .delay(HEALTH_CHECK_TIMEOUT_MS, end.signal)
      .then(() => exchange.cancel());
    const result = await exchange.result;
    end.abort();
    if (result.kind !== 'answer') return null;
    const {binding} = this;
    const header = (name: string) =>
      transport.headerValue(result.headers, name.toLowerCase());
    const coldTime = header(binding.coldRemainingHeader);
    return {
      instance: header(binding.instanceIdHeader),
      succeeded: result.status >= 200 && result.status < 300,
      coldRemainingMs:
        coldTime === null ? null : binding.parseColdRemaining(coldTime),
    };
  }

  close(): void {
    this.client.destroy();
  }
}
