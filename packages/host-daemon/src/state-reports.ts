import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as readerSelection from './reader-selection.js';

/** Where this process received a change from. */
export type ChangeSource = 'platform' | 'peer';

export interface StateReportsOptions {
  readonly logger: Pick<runtime.Logger, 'info' | 'warn' | 'error'>;
  readonly metrics: Pick<runtime.Metrics, 'count' | 'gauge'>;
}

/** Logs and metrics on the published items that this process uses or rejects. */
export class StateReports {
  constructor(private readonly options: StateReportsOptions) {}

  inForce(
    configuration: routing.FleetConfiguration,
    previous: number,
    source: ChangeSource,
  ): void {
    const {logger, metrics} = this.options;
    const {keyPolicy} = configuration;
    const organisations = routing.organisationsOf(configuration).length;
    logger.info('configuration-in-force', {
      version: configuration.version,
      previous,
      source,
      routes: configuration.routes.length,
      keys: keyPolicy.kind,
      organisations,
    });
    metrics.gauge(
      'configuration_version',
      'Version of the configuration in force.',
      configuration.version,
    );
    metrics.gauge(
      'configuration_keys_required',
      '1 if requests on routes that are not public need a key.',
      keyPolicy.kind === 'required' ? 1 : 0,
    );
    metrics.gauge(
      'configuration_organisations',
      'Organisations of the configuration in force.',
      organisations,
    );
    this.reportRejected(0);
    this.reportUnrecognisedKinds(configuration);
  }

  /** Reports the era of the state in use. */
  era(era: number): void {
    this.options.metrics.gauge(
      'store_era',
      'Era of the state in use: restores of the platform store.',
      era,
    );
  }

  eraBegun(era: number, previous: number, source: ChangeSource): void {
    this.era(era);
    this.options.logger.info('era-begun', {era, previous, source});
  }

  /** A message of an earlier era than the state in use changes nothing. */
  discardedEarlierEra(source: ChangeSource): void {
    this.options.metrics.count(
      'earlier_era_messages_total',
      'Messages discarded because they are of an earlier era, by source.',
      {source},
    );
  }

  /** Reports changes of the hosts that this one reads from. */
  distributionRole(
    previous: readerSelection.DistributionRole,
    role: readerSelection.DistributionRole,
  ): void {
    this.options.metrics.gauge(
      'platform_reader',
      '1 while this host watches the platform for others.',
      role.isReader ? 1 : 0,
    );
    const informedBy = [...role.upstream].sort().join();
    const isUnchanged =
      role.isReader === previous.isReader &&
      informedBy === [...previous.upstream].sort().join();
    if (isUnchanged) return;
    this.options.logger.info('distribution-role-changed', {
      isReader: role.isReader,
      informs: role.downstream.size,
      informedBy,
    });
  }

  /** The configuration before it stays in force. */
  rejectedConfiguration(error: unknown): void {
    this.rejectedItem('configuration', error);
    this.reportRejected(1);
  }

  rejectedItem(
    subject: 'configuration' | 'backendServer',
    error: unknown,
  ): void {
    const {logger, metrics} = this.options;
    metrics.count(
      'published_items_rejected_total',
      'Items of the platform that could not be used, by subject.',
      {subject},
    );
    const fields = {
      subject,
      error: error instanceof Error ? error.message : String(error),
    };
    // Without a configuration the whole host serves nothing.
    if (subject === 'configuration') {
      logger.error('published-item-rejected', fields);
    } else {
      logger.warn('published-item-rejected', fields);
    }
  }

  private reportRejected(rejected: 0 | 1): void {
    this.options.metrics.gauge(
      'configuration_rejected',
      '1 while the newest configuration received could not be decoded.',
      rejected,
    );
  }

  /** A kind that is not known is treated as one that must not run twice. */
  private reportUnrecognisedKinds(
    configuration: routing.FleetConfiguration,
  ): void {
    const {logger, metrics} = this.options;
    const routes = configuration.routes.filter(
      ({unrecognisedKind}) => unrecognisedKind !== null,
    );
    metrics.gauge(
      'configuration_unrecognised_routes',
      'Routes in force whose kind of request is not known to this daemon.',
      routes.length,
    );
    if (routes.length === 0) return;
    logger.warn('route-kinds-unrecognised', {
      kinds: [...new Set(routes.map(route => route.unrecognisedKind))].join(),
      routes: routes.length,
      firstRoute: routes[0].name,
      treatedAs: 'non-idempotent',
    });
  }
}
