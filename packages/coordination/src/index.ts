export {CellTask} from './cell-task.js';
export type {CellTaskOptions, OwnerRequest} from './cell-task.js';
export {ConfigurationStore} from './configuration-store.js';
export type {
  ConfigurationAccess,
  ActiveConfiguration,
  ConfigurationStoreOptions,
  OfferResult,
  ParseDocument,
} from './configuration-store.js';
export {ConfigurationTask, EXCHANGE_INTERVAL_MS} from './configuration-task.js';
export type {ConfigurationTaskOptions, SeedPeer} from './configuration-task.js';
export {ControlRequestHandler} from './control-request-handler.js';
export type {ControlRequestHandlerOptions} from './control-request-handler.js';
export {DepartureTask} from './departure-task.js';
export type {DepartureReport, DepartureTaskOptions} from './departure-task.js';
export {HostDirectory} from './host-directory.js';
export type {HostDirectoryOptions, LeavingSource} from './host-directory.js';
export {HostProbeTask} from './host-probe-task.js';
export type {HostProbeTaskOptions} from './host-probe-task.js';
export {KeyClient} from './key-client.js';
export type {ClaimVerdict, KeyClientOptions} from './key-client.js';
export {LimitClient} from './limit-client.js';
export type {LimitClientOptions} from './limit-client.js';
export type * from './message-extensions.js';
export {TOKEN_WAIT_MS} from './organisation-limiter.js';
export type {SpendResult} from './organisation-limiter.js';
export {OwnerClient} from './owner-client.js';
export type {OwnerClientOptions, OwnerReply} from './owner-client.js';
export type {PlatformReader} from './platform-reader.js';
export {READERS_PER_ZONE, RELAY_FANOUT} from './relay-peers.js';
export type {TargetResult} from './target-health.js';
export {TargetSelector} from './target-selector.js';
export type {TargetChoice, TargetSelectorOptions} from './target-selector.js';
export {
  bucketShard,
  cellName,
  cellIndexOf,
  cellOfKey,
  cellOfOrganisation,
  keyShard,
  MAXIMUM_CELL_HOSTS,
} from './topology.js';
export type {CellId} from './topology.js';
