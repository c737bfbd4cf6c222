import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as fleetState from './fleet-state.js';
import type * as peerReport from './peer-report.js';
import * as publishedState from './published-state.js';

/** The platform itself tells of a change within this time. */
const RELAY_DELAY_MS = 400;

/** Another peer is asked when one has not answered for this long. */
const QUERY_TIMEOUT_MS = 800;

/** Peers that are asked at once; one of them may be out of reach. */
const MAXIMUM_QUERIES = 2;

export interface StateRelayOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly state: fleetState.FleetState;
}

/**
 * Asks a peer for the configuration and the list when its report tells of
 * newer ones and the platform does not, because it is out of reach or because
 * a watch hangs.
 */
export class StateRelay {
  /** Hosts that are being asked. */
  private readonly queried = new Set<string>();

  constructor(private readonly options: StateRelayOptions) {}

  consider(report: peerReport.PeerReport, link: transport.PeerLink): void {
    const {host} = report;
    if (this.queried.has(host) || this.queried.size >= MAXIMUM_QUERIES) return;
    if (!this.knowsMore(report)) return;
    this.queried.add(host);
    void this.query(report, link).finally(() => this.queried.delete(host));
  }

  private knowsMore(report: peerReport.PeerReport): boolean {
    const {state} = this.options;
    return (
      report.configuration > state.version ||
      report.revision > state.listRevision
    );
  }

  private async query(
    report: peerReport.PeerReport,
    link: transport.PeerLink,
  ): Promise<void> {
    const {clock, logger, state} = this.options;
    const {host} = report;
    try {
      // A process without any configuration does not wait for the platform.
      if (state.index) await clock.delay(RELAY_DELAY_MS);
      if (!this.knowsMore(report)) return;
      const reply = await link.request(
        {kind: 'configurationDigest', revision: state.version, digest: ''},
        QUERY_TIMEOUT_MS,
      );
      if (reply.kind !== 'configurationAnswer' || !reply.document) return;
      const relayed = publishedState.parseRelayedState(reply.document);
      if (!relayed) {
        logger.warn('peer-state-rejected', {host});
        return;
      }
      logger.info('state-adopted-from-peer', {
        host,
        version: report.configuration,
        revision: report.revision,
      });
      state.adoptRelayed(relayed, clock.monotonicMs());
    } catch (error) {
      logger.warn('peer-state-query-failed', {
        host,
        error: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
