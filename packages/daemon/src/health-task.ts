import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';

/** Interval between health checks of the local backend server. */
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 1_000;
/** Consecutive failed probes after which new calls are refused. */
const DOWN_FAILURE_THRESHOLD = 3;

export type BackendServerHealth = 'up' | 'down' | 'leaving';

export interface HealthTaskOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly client: transport.BackendServerClient;
  readonly healthPath: string;
  readonly loadPath: string;
  readonly onHealth: (health: BackendServerHealth) => void;
  readonly onLoad: (inFlight: number, slots: number) => void;
}

/**
 * Polls the health and load endpoints of the local backend server. Both may be
 * late or wrong, so health only stops new calls and load is only a hint.
 */
export class HealthTask {
  health: BackendServerHealth = 'up';
  private consecutiveFailures = 0;

  constructor(private readonly options: HealthTaskOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateHealth(await this.probeHealth());
      if (this.health !== 'down') await this.probeLoad();
      await this.options.clock.delay(PROBE_INTERVAL_MS, signal);
    }
  }

  private async probeHealth(): Promise<BackendServerHealth> {
    const {client, healthPath, metrics} = this.options;
    try {
      const response = await client.probe(healthPath, PROBE_TIMEOUT_MS);
      // Any response shows that the server runs; only a missing one is a
      // failure.
      this.consecutiveFailures = 0;
      return isLeaving(response.body) ? 'leaving' : 'up';
    } catch {
      this.consecutiveFailures++;
      metrics.count(
        'health_probes_failed_total',
        'Probes of the local backend server without an answer.',
      );
      return this.consecutiveFailures >= DOWN_FAILURE_THRESHOLD
        ? 'down'
        : this.health;
    }
  }

  private async probeLoad(): Promise<void> {
    const {client, loadPath, onLoad} = this.options;
    try {
      const response = await client.probe(loadPath, PROBE_TIMEOUT_MS);
      const load = JSON.parse(response.body) as Record<string, unknown>;
      const {inFlight, slots} = load;
      if (isCount(inFlight) && isCount(slots)) onLoad(inFlight, slots);
    } catch {
      // The load report is only a hint, so errors are ignored.
    }
  }

  private updateHealth(health: BackendServerHealth): void {
    if (health === this.health) return;
    this.options.logger.info('backend-server-health-changed', {
      from: this.health,
      to: health,
    });
    this.health = health;
    this.options.onHealth(health);
  }
}

function isLeaving(body: string): boolean {
  try {
    const report = JSON.parse(body) as Record<string, unknown>;
    return report['state'] === 'leaving';
  } catch {
    return false;
  }
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
