import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as publishedState from './published-state.js';

/** The platform counts as disturbed for this long after a failure. */
const DISTURBED_MS = 2_000;

/** Living backend servers register again within this time of its return. */
const ABSENCE_GRACE_MS = 2_500;

export interface FleetStateOptions {
  readonly decoder: publishedState.StateDecoder;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  /** Called after a newer configuration is in force. */
  readonly onConfiguration: (
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ) => void;
  readonly onServers: (nowMs: number) => void;
}

/**
 * The configuration and the backend servers that this process believes in,
 * from the platform or from peers. The configuration's version never goes
 * back within the life of the process.
 */
export class FleetState implements publishedState.StateListener {
  readonly directory = new routing.BackendServerDirectory(ABSENCE_GRACE_MS);
  private current: routing.ConfigurationIndex | null = null;
  private configurationText: string | null = null;
  private readonly serverTexts = new Map<string, string>();
  private revision = 0;
  private lastSuccessMs = -Infinity;
  private lastFailureMs = -Infinity;
  private connected: boolean | null = null;

  constructor(private readonly options: FleetStateOptions) {}

  /** Null until a configuration is known. */
  get index(): routing.ConfigurationIndex | null {
    return this.current;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  get storeRevision(): number {
    return this.revision;
  }

  /** Milliseconds since the platform last answered. */
  silenceMs(nowMs: number): number {
    return nowMs - this.lastSuccessMs;
  }

  isDisturbed(nowMs: number): boolean {
    return nowMs - this.lastFailureMs < DISTURBED_MS;
  }

  /** The state for a peer that knows less. */
  relayedState(): publishedState.RelayedState {
    return {
      configuration: this.configurationText,
      servers: [...this.serverTexts],
      revision: this.revision,
    };
  }

  /** Takes over what a peer knows, where it is newer. */
  adoptRelayed(state: publishedState.RelayedState, nowMs: number): void {
    if (state.configuration !== null) {
      this.configurationRead(state.configuration, nowMs);
    }
    if (state.revision > this.revision) {
      this.serversRead(new Map(state.servers), state.revision, nowMs);
    }
  }

  configurationRead(text: string, nowMs: number): void {
    if (text === this.configurationText) return;
    let configuration: routing.FleetConfiguration;
    try {
      configuration = this.options.decoder.configuration(text);
    } catch (error) {
      this.reject('configuration', error);
      return;
    }
    if (configuration.version <= this.version) return;
    const previous = this.version;
    this.current = new routing.ConfigurationIndex(configuration);
    this.configurationText = text;
    this.options.logger.info('configuration-in-force', {
      version: configuration.version,
      previous,
      routes: configuration.routes.length,
      organisations: configuration.organisations.length,
    });
    this.options.metrics.gauge(
      'configuration_version',
      'Version of the configuration in force.',
      configuration.version,
    );
    this.options.onConfiguration(configuration, nowMs);
  }

  serversRead(
    servers: ReadonlyMap<string, string>,
    revision: number,
    nowMs: number,
  ): void {
    // An older list must not bring back what has left.
    if (revision < this.revision) return;
    this.revision = revision;
    const decoded: routing.BackendServer[] = [];
    this.serverTexts.clear();
    for (const [instance, text] of servers) {
      this.serverTexts.set(instance, text);
      const server = this.decodeServer(instance, text);
      if (server) decoded.push(server);
    }
    this.directory.replaceAll(decoded, this.isDisturbed(nowMs), nowMs);
    this.options.onServers(nowMs);
  }

  serverChanged(
    instance: string,
    text: string | null,
    revision: number,
    nowMs: number,
  ): void {
    if (revision <= this.revision && text === this.serverTexts.get(instance)) {
      return;
    }
    this.revision = Math.max(this.revision, revision);
    const known = this.directory.get(instance);
    if (text === null) {
      this.serverTexts.delete(instance);
      if (this.isDisturbed(nowMs)) this.directory.markMissing(instance, nowMs);
      else this.directory.remove(instance);
      if (known) this.logServer('backend-server-removed', known, revision);
    } else {
      this.serverTexts.set(instance, text);
      const server = this.decodeServer(instance, text);
      if (!server) return;
      this.directory.put(server, nowMs);
      if (!known) this.logServer('backend-server-added', server, revision);
      else if (known.phase !== server.phase) {
        this.logServer('backend-server-changed', server, revision);
      } else return;
    }
    this.options.onServers(nowMs);
  }

  contact(succeeded: boolean, nowMs: number): void {
    if (succeeded) this.lastSuccessMs = nowMs;
    else this.lastFailureMs = nowMs;
    if (this.connected === succeeded) return;
    this.connected = succeeded;
    if (succeeded) this.options.logger.info('platform-regained');
    else this.options.logger.warn('platform-lost');
  }

  tick(nowMs: number): void {
    // While the platform is away, an absence proves nothing.
    if (this.isDisturbed(nowMs)) return;
    const expired = this.directory.expireMissing(nowMs);
    if (expired.length === 0) return;
    this.options.logger.info('backend-servers-expired', {instances: expired});
    this.options.onServers(nowMs);
  }

  private decodeServer(
    instance: string,
    text: string,
  ): routing.BackendServer | null {
    try {
      return this.options.decoder.backendServer(instance, text);
    } catch (error) {
      this.reject('backendServer', error);
      return null;
    }
  }

  private logServer(
    event: string,
    server: routing.BackendServer,
    revision: number,
  ): void {
    const {instance, service, hostAddress, phase} = server;
    this.options.logger.info(event, {
      instance,
      service,
      hostAddress,
      phase,
      revision,
    });
  }

  private reject(subject: string, error: unknown): void {
    this.options.metrics.count(
      'published_items_rejected_total',
      'Items of the platform that could not be used, by subject.',
      {subject},
    );
    this.options.logger.warn('published-item-rejected', {
      subject,
      error: error instanceof Error ? error.message : String(error),
    });
  }
}
