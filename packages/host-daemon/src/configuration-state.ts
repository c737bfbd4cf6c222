import * as routing from '@camphorwharf/routing';
import type * as publishedState from './published-state.js';
import type * as stateReports from './state-reports.js';

interface ReceivedConfiguration {
  readonly era: number;
  readonly version: number;
  readonly text: string | null;
}

export interface ConfigurationStateOptions {
  readonly decoder: Pick<publishedState.StateDecoder, 'configuration'>;
  readonly reports: Pick<
    stateReports.StateReports,
    'inForce' | 'rejectedConfiguration'
  >;
  /** Called after a newer configuration has taken effect. */
  readonly onConfiguration: (
    configuration: routing.FleetConfiguration,
    nowMs: number,
  ) => void;
}

/**
 * The configuration in force, and the newest one received. They differ after a
 * restore of the store from a copy with an older version: that version is
 * passed on to peers, but the version in force never decreases.
 */
export class ConfigurationState {
  private currentIndex: routing.ConfigurationIndex | null = null;
  private inForce: ReceivedConfiguration = {era: 0, version: 0, text: null};
  private received: ReceivedConfiguration = {era: 0, version: 0, text: null};

  constructor(private readonly options: ConfigurationStateOptions) {}

  /** Null until a configuration is known. */
  get index(): routing.ConfigurationIndex | null {
    return this.currentIndex;
  }

  /** Era, version and text of the newest configuration received. */
  get newest(): ReceivedConfiguration {
    return this.received;
  }

  /** Whether a configuration is newer than the newest one received. */
  isNewer(era: number, version: number): boolean {
    return era === this.received.era
      ? version > this.received.version
      : era > this.received.era;
  }

  /** Whether this is the newest configuration received. */
  isNewest(era: number, version: number): boolean {
    return era === this.received.era && version === this.received.version;
  }

  apply(
    text: string,
    era: number,
    source: stateReports.ChangeSource,
    nowMs: number,
  ): void {
    if (era < this.received.era) return;
    if (era === this.received.era && text === this.received.text) return;
    let configuration: routing.FleetConfiguration;
    try {
      configuration = this.options.decoder.configuration(text);
    } catch (error) {
      this.options.reports.rejectedConfiguration(error);
      return;
    }
    const {version} = configuration;
    if (!this.isNewer(era, version)) return;
    this.received = {era, version, text};
    const previous = this.inForce;
    if (version < previous.version) return;
    this.inForce = this.received;
    if (version === previous.version && text === previous.text) return;
    this.currentIndex = new routing.ConfigurationIndex(configuration);
    this.options.reports.inForce(configuration, previous.version, source);
    this.options.onConfiguration(configuration, nowMs);
  }
}
