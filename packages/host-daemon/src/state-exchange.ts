import type * as changeOrigin from './change-origin.js';
import type * as configurationState from './configuration-state.js';
import type * as evacuatedZones from './evacuated-zones.js';
import type * as listedServers from './listed-servers.js';
import * as publishedState from './published-state.js';
import type * as versionedItems from './versioned-items.js';

/** The state after which a peer asks for changes. */
export type QueriedPosition = Pick<
  publishedState.StatePosition,
  'era' | 'revision' | 'configurationEra' | 'configuration'
>;

/** Merges a message into a list and returns the changes that are new. */
export type Merge = (
  items: versionedItems.VersionedItems,
) => publishedState.ItemChange[];

/** Everything that a host tells its peers. */
export interface ExchangedState {
  readonly configuration: configurationState.ConfigurationState;
  readonly servers: listedServers.ListedServers;
  readonly evacuatedZones: evacuatedZones.EvacuatedZones;
}

/** How recent the state is, for reports to peers. */
export function positionOf(
  {configuration, evacuatedZones, servers}: ExchangedState,
  era: number,
): publishedState.StatePosition {
  const {newest} = configuration;
  return {
    era,
    revision: servers.items.latestRevision,
    evacuations: evacuatedZones.items.latestRevision,
    configurationEra: newest.era,
    configuration: newest.version,
  };
}

/** The state of which this process has all changes, for queries to peers. */
export function syncedPositionOf(
  state: ExchangedState,
  era: number,
): QueriedPosition {
  const revision = Math.min(
    state.servers.items.syncedRevision,
    state.evacuatedZones.items.syncedRevision,
  );
  return {...positionOf(state, era), revision};
}

/** Whether a peer of the same era has newer state. */
export function isBehind(
  {configuration, evacuatedZones, servers}: ExchangedState,
  peer: publishedState.StatePosition,
): boolean {
  return (
    peer.revision > servers.items.highestRevision ||
    peer.evacuations > evacuatedZones.items.highestRevision ||
    configuration.isNewer(peer.configurationEra, peer.configuration)
  );
}

/**
 * The state to transfer to a peer that has an older one: all of it, or what has
 * changed since the peer's position.
 */
export function createSnapshot(
  {configuration, evacuatedZones, servers}: ExchangedState,
  era: number,
  since: QueriedPosition | null,
): publishedState.StateSnapshot {
  const {newest} = configuration;
  const needsConfiguration =
    since === null || isConfigurationNewer(newest, since);
  const lists = evacuatedZones.isKnown
    ? [servers.items, evacuatedZones.items]
    : [servers.items];
  const partial = lists.flatMap(items => {
    const changes = since && items.changesSince(since.revision, since.era);
    return changes ? [changes] : [];
  });
  const isPartial = partial.length === lists.length;
  const [serverChanges, evacuations] = isPartial
    ? partial
    : lists.map(items => items.changes());
  return {
    configuration: needsConfiguration ? newest.text : null,
    configurationEra: newest.era,
    era,
    servers: publishedState.encodeItems(serverChanges),
    revision: servers.items.syncedRevision,
    ...(evacuations
      ? {
          evacuations: publishedState.encodeItems(evacuations),
          evacuationsRevision: evacuatedZones.items.syncedRevision,
        }
      : {}),
    ...(isPartial && since ? {since: since.revision} : {}),
  };
}

/** The parts of a snapshot as merges into the lists of this process. */
export interface SnapshotMerges {
  readonly servers: Merge;
  /** Null if the sender does not know the evacuations. */
  readonly evacuations: Merge | null;
  /** Whether the lists are complete. */
  readonly isWhole: boolean;
  readonly origin: changeOrigin.ChangeOrigin;
}

export function snapshotMerges(
  snapshot: publishedState.StateSnapshot,
  nowMs: number,
): SnapshotMerges {
  const {era = 0, evacuations, revision, servers, since} = snapshot;
  const {evacuationsRevision = 0} = snapshot;
  const isWhole = since === undefined;
  const createMerge =
    (encoded: typeof servers, syncedRevision: number): Merge =>
    items => {
      const changes = publishedState.decodeItems(encoded);
      return isWhole
        ? items.mergeList(changes, syncedRevision, era)
        : items.mergeChanges(changes, syncedRevision, era);
    };
  return {
    servers: createMerge(servers, revision),
    evacuations: evacuations
      ? createMerge(evacuations, evacuationsRevision)
      : null,
    isWhole,
    origin: {era, source: 'peer', nowMs},
  };
}

function isConfigurationNewer(
  {era, version}: configurationState.ConfigurationState['newest'],
  since: QueriedPosition,
): boolean {
  return era === since.configurationEra
    ? version > since.configuration
    : era > since.configurationEra;
}
