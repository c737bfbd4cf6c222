import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as fleetState from './fleet-state.js';
import type * as peerReport from './peer-report.js';
import * as publishedState from './published-state.js';
import type * as stateExchange from './state-exchange.js';

/**
 * Delay of a fetch from a host that does not inform this one. The platform or
 * the upstream normally delivers a change within this time.
 */
const FETCH_DELAY_MS = 400;

/** Time after which a second upstream is asked for the same change. */
const HEDGE_DELAY_MS = 200;

/** A peer that has not responded within this time is given up. */
const FETCH_TIMEOUT_MS = 800;

/** Number of peers queried at the same time; one of them may be unreachable. */
const MAXIMUM_FETCHES = 2;

export interface PeerStateFetcherOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly state: fleetState.FleetState;
}

/**
 * Fetches the configuration and the list from a peer whose report shows newer
 * ones, when the platform does not deliver them because it is unreachable or a
 * watch hangs.
 */
export class PeerStateFetcher {
  /** Hosts with a query in progress. */
  private readonly pending = new Set<string>();

  constructor(private readonly options: PeerStateFetcherOptions) {}

  fetchIfNewer(report: peerReport.PeerReport, link: transport.PeerLink): void {
    const {host} = report;
    if (this.pending.has(host) || this.pending.size >= MAXIMUM_FETCHES) return;
    if (!this.isNewer(report)) return;
    this.pending.add(host);
    void this.fetch(report, link).finally(() => this.pending.delete(host));
  }

  private isNewer(report: peerReport.PeerReport): boolean {
    const {clock, state} = this.options;
    return state.isBehind(report, clock.monotonicMs());
  }

  private async fetch(
    report: peerReport.PeerReport,
    link: transport.PeerLink,
  ): Promise<void> {
    const {clock, logger, state} = this.options;
    const {host} = report;
    try {
      const delayMs = this.fetchDelayMs(host);
      if (delayMs > 0) await clock.delay(delayMs);
      if (!this.isNewer(report)) return;
      const reply = await link.request(
        {
          kind: 'configurationDigest',
          revision: state.syncedPosition.configuration,
          digest: encodePosition(state.syncedPosition),
        },
        FETCH_TIMEOUT_MS,
      );
      if (reply.kind !== 'configurationAnswer' || !reply.document) return;
      const snapshot = publishedState.parseSnapshot(reply.document);
      if (!snapshot) {
        logger.warn('peer-state-rejected', {host});
        return;
      }
      logger.info('state-adopted-from-peer', {
        host,
        version: report.configuration,
        era: report.era,
        revision: report.revision,
        evacuations: report.evacuations,
      });
      state.mergeSnapshot(snapshot, clock.monotonicMs());
    } catch (error) {
      logger.warn('peer-state-query-failed', {
        host,
        error: error instanceof Error ? error.message : String(error),
      });
    }
  }

  private fetchDelayMs(host: string): number {
    const {state} = this.options;
    const isUpstream = state.distributionRole.upstream.has(host);
    // A process without a configuration waits for nobody.
    if (state.index && !isUpstream) return FETCH_DELAY_MS;
    return this.pending.size > 1 ? HEDGE_DELAY_MS : 0;
  }
}

/**
 * Encodes the position of the asking process into a state query. Earlier
 * releases understand the form without eras and answer any other query with
 * their whole state.
 */
function encodePosition(position: stateExchange.QueriedPosition): string {
  const {configurationEra, era, revision} = position;
  return era === 0
    ? `list:${revision}`
    : `list:${revision}:${era}:${configurationEra}`;
}

/** Returns null for a query of an earlier release, which asks for everything. */
export function decodePosition({
  digest,
  revision: configuration,
}: Pick<
  protocol.ConfigurationDigest,
  'digest' | 'revision'
>): stateExchange.QueriedPosition | null {
  const match = /^list:(\d{1,15})(?::(\d{1,10}):(\d{1,10}))?$/.exec(digest);
  if (!match) return null;
  const [revision, era, configurationEra] = match
    .slice(1)
    .map(text => Number(text ?? 0));
  return {era, revision, configurationEra, configuration};
}
