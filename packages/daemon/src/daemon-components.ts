import * as admission from '@camphorwharf/admission';
import * as coordination from '@camphorwharf/coordination';
import * as declaration from '@camphorwharf/declaration';
import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as admissionTask from './admission-task.js';
import * as platformAdapter from './platform-adapter.js';
import type * as settingsFile from './settings.js';

/** What a daemon takes from its environment. */
export interface DaemonEnvironment {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly logger: runtime.Logger;
}

/** Everything a process is identified by. */
export interface DaemonIdentity {
  readonly self: declaration.HostEntry;
  readonly incarnation: string;
}

export type Store = coordination.ConfigurationStore<declaration.DocumentIndex>;

/** The state and tasks through which this daemon agrees with others. */
export interface CoordinationParts {
  readonly store: Store;
  readonly directory: coordination.HostDirectory;
  readonly cell: coordination.CellTask;
  readonly configuration: coordination.ConfigurationTask;
  readonly probes: coordination.HostProbeTask;
  readonly limits: coordination.LimitClient;
  readonly keys: coordination.KeyClient;
  readonly platform: transport.PlatformClient;
}

/** The state through which this daemon admits calls and chooses targets. */
export interface LoadParts {
  readonly controller: admission.AdmissionController;
  readonly admission: admissionTask.AdmissionTask;
  readonly thresholds: admission.ThresholdTable;
  readonly targets: coordination.TargetSelector;
}

/** The host entry that the settings describe. */
export function selfEntry(
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

/** Wires configuration, membership, limits and keys. */
export function createCoordination(
  settings: settingsFile.Settings,
  identity: DaemonIdentity,
  environment: DaemonEnvironment,
  metrics: runtime.Metrics,
  store: Store,
  peers: transport.PeerDirectory,
): CoordinationParts {
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

/** Wires admission at this target and the choice of other targets. */
export function createLoadParts(
  settings: settingsFile.Settings,
  environment: DaemonEnvironment,
  metrics: runtime.Metrics,
  directory: coordination.HostDirectory,
): LoadParts {
  const controller = new admission.TargetAdmission();
  const thresholds = new admission.Thresholds();
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
    const colon = seed.lastIndexOf(':');
    return {
      address: seed.slice(0, colon),
      port: Number(seed.slice(colon + 1)),
    };
  });
}
