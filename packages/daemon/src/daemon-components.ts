import * as admission from '@camphorwharf/admission';
import * as coordination from '@camphorwharf/coordination';
import * as declaration from '@camphorwharf/declaration';
import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as admissionTask from './admission-task.js';
import * as platformAdapter from './platform-adapter.js';
import type * as settingsFile from './settings.js';

/** External dependencies of a daemon, replaceable in tests. */
export interface DaemonEnvironment {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly logger: runtime.Logger;
}

/** Identifies a daemon process: its host and its incarnation. */
export interface DaemonIdentity {
  readonly self: declaration.HostEntry;
  readonly incarnation: string;
}

export type Store = coordination.ConfigurationStore<declaration.DocumentIndex>;

/** State and tasks for coordination with other daemons and the platform. */
export interface CoordinationComponents {
  readonly store: Store;
  readonly directory: coordination.HostDirectory;
  readonly cell: coordination.CellTask;
  readonly configuration: coordination.ConfigurationTask;
  readonly probes: coordination.HostProbeTask;
  readonly limits: coordination.LimitClient;
  readonly keys: coordination.KeyClient;
  readonly platform: transport.PlatformClient;
}

/** Components that admit local calls and select targets for outgoing calls. */
export interface LoadControlComponents {
  readonly controller: admission.AdmissionController;
  readonly admission: admissionTask.AdmissionTask;
  readonly thresholds: admission.ThresholdTable;
  readonly targets: coordination.TargetSelector;
}

/** Creates the host list entry of this host from the settings. */
export function createHostEntry(
  settings: settingsFile.Settings,
): declaration.HostEntry {
  return {
    hostId: settings.host_id,
    address: settings.listen.address,
    peerPort: settings.listen.peer_port,
    callerPort: settings.listen.caller_port,
    service: settings.service,
    region: settings.region,
    availabilityZone: settings.availability_zone,
    state: declaration.HostState.live,
  };
}

export function createStore(
  environment: DaemonEnvironment,
  metrics: runtime.Metrics,
): Store {
  return new coordination.ConfigurationStore({
    parse: declaration.parsePublishedDocument,
    createIndex: document => new declaration.DocumentIndex(document),
    logger: environment.logger,
    metrics,
  });
}

/** Creates the components for configuration, membership, limits and keys. */
export function createCoordinationComponents(
  settings: settingsFile.Settings,
  identity: DaemonIdentity,
  environment: DaemonEnvironment,
  metrics: runtime.Metrics,
  store: Store,
  peers: transport.PeerConnector,
): CoordinationComponents {
  const {self, incarnation} = identity;
  const {hostId} = self;
  const common = {...environment, metrics};
  const directory = new coordination.HostDirectory(common);
  const document = () => store.current?.document ?? null;
  const platform = new transport.PlatformClient({
    clock: environment.clock,
    origin: settings.platform.url,
  });
  const cell = new coordination.CellTask({
    ...common,
    self,
    identity: {hostId, incarnation},
    store,
    directory,
    peers,
    createMembership: (name, member, startedMs) =>
      new ownership.CellMember({cell: name, identity: member, startedMs}),
    createBuckets: () => new ownership.Buckets(),
    createKeys: () => new ownership.KeyRecords(),
  });
  const owners = new coordination.OwnerClient({
    ...common,
    self,
    directory,
    peers,
    cell,
  });
  return {
    store,
    directory,
    cell,
    platform,
    configuration: new coordination.ConfigurationTask({
      ...common,
      self,
      store,
      directory,
      peers,
      platform: new platformAdapter.PlatformAdapter(platform),
      seeds: parseSeeds(settings.peers.seeds),
    }),
    probes: new coordination.HostProbeTask({...common, directory, peers}),
    limits: new coordination.LimitClient({
      ...common,
      region: settings.region,
      document,
      owners,
      createGrants: organisation =>
        new ownership.PrepaidGrant({
          organisation,
          holder: {hostId, incarnation},
        }),
    }),
    keys: new coordination.KeyClient({...common, document, owners}),
  };
}

/** Creates the components for admission control and target selection. */
export function createLoadControlComponents(
  settings: settingsFile.Settings,
  environment: DaemonEnvironment,
  metrics: runtime.Metrics,
  directory: coordination.HostDirectory,
): LoadControlComponents {
  const controller = new admission.TargetAdmission();
  const thresholds = new admission.SheddingThresholdTable();
  return {
    controller,
    thresholds,
    admission: new admissionTask.AdmissionTask({
      clock: environment.clock,
      metrics,
      controller,
    }),
    targets: new coordination.TargetSelector({
      availabilityZone: settings.availability_zone,
      directory,
      thresholds,
      random: environment.random,
    }),
  };
}

function parseSeeds(seeds: readonly string[]): coordination.SeedPeer[] {
  return seeds.map(seed => {
    const separator = seed.lastIndexOf(':');
    return {
      address: seed.slice(0, separator),
      port: Number(seed.slice(separator + 1)),
    };
  });
}
