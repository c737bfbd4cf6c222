import * as declaration from '@camphorwharf/declaration';
import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as coordination from '../index.js';
import * as fakeNetwork from './fake-network.js';

/** In-memory platform. All reads fail while `mode` is `down`. */
export class FakePlatform implements coordination.PlatformReader {
  mode: 'up' | 'down' = 'up';
  document: {revision: number; document: string} | null = null;
  hostList: declaration.HostList | null = null;
  /** Number of waiting reads. */
  waiting = 0;
  /** Maximum number of waiting reads so far. */
  maximumWaiting = 0;
  reads = 0;

  constructor(private readonly clock: runtime.Clock) {}

  readDocument(after: number, waitMs: number, signal: AbortSignal) {
    return this.read(() => this.document, after, waitMs, signal);
  }

  readHosts(after: number, waitMs: number, signal: AbortSignal) {
    return this.read(() => this.hostList, after, waitMs, signal);
  }

  private async read<T extends {readonly revision: number}>(
    latest: () => T | null,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<T | null> {
    const endMs = this.clock.monotonicMs() + waitMs;
    this.reads++;
    this.waiting++;
    this.maximumWaiting = Math.max(this.maximumWaiting, this.waiting);
    try {
      for (;;) {
        if (this.mode === 'down') {
          throw new runtime.ConnectionError('The platform is down.');
        }
        const current = latest();
        if (current && current.revision > after) return current;
        if (this.clock.monotonicMs() >= endMs || signal.aborted) return null;
        await this.clock.delay(50, signal);
      }
    } finally {
      this.waiting--;
    }
  }
}

/** Serialises a document with one region and one service. */
export function documentText(
  revision: number,
  options: {cells?: number; ratePerSecond?: number; burst?: number} = {},
): string {
  return declaration.serializeDocument({
    formatVersion: 1,
    revision,
    regions: [
      {
        name: 'jordan',
        weight: 1,
        cells: options.cells ?? 1,
        availabilityZones: ['amman-a', 'amman-b', 'zarqa-c'],
      },
    ],
    services: [{name: 'catalogue', labels: {}}],
    routes: [],
    organisations: [
      {
        name: 'sahab',
        labels: {},
        ratePerSecond: options.ratePerSecond ?? 100,
        burst: options.burst ?? 50,
        keyHashes: [],
      },
    ],
    policies: [],
  });
}

const ZONES = ['amman-a', 'amman-b', 'zarqa-c'];

export function hostEntry(index: number): declaration.HostEntry {
  return {
    hostId: `host-${index}`,
    address: `host-${index}`,
    peerPort: 1,
    callerPort: 2,
    service: 'catalogue',
    region: 'jordan',
    availabilityZone: ZONES[index % ZONES.length],
    state: 'live',
  };
}

/** One process with the coordination components, wired as in the daemon. */
export class FakeDaemon {
  readonly identity: protocol.MemberIdentity;
  readonly store: coordination.ConfigurationStore<null>;
  readonly directory: coordination.HostDirectory;
  readonly configuration: coordination.ConfigurationTask;
  readonly cell: coordination.CellTask;
  readonly limits: coordination.LimitClient;
  readonly keys: coordination.KeyClient;
  readonly stopped = new AbortController();
  readonly metrics = new runtime.Metrics();

  constructor(
    readonly self: declaration.HostEntry,
    incarnation: string,
    fleet: FakeFleet,
    seeds: readonly string[],
  ) {
    const {clock, network, platform} = fleet;
    const random = fleet.createRandom();
    const logger = runtime.silentLogger;
    const metrics = this.metrics;
    this.identity = {hostId: self.hostId, incarnation};
    this.store = new coordination.ConfigurationStore({
      parse: text => declaration.parsePublishedDocument(text),
      createIndex: () => null,
      logger,
      metrics,
    });
    const peers = network.connectorOf(self.address);
    this.directory = new coordination.HostDirectory({logger, metrics});
    const shared = {
      self,
      store: this.store,
      directory: this.directory,
      peers,
      clock,
      random,
      logger,
      metrics,
    };
    this.configuration = new coordination.ConfigurationTask({
      ...shared,
      platform,
      seeds: seeds.map(address => ({address, port: 1})),
    });
    this.cell = new coordination.CellTask({
      ...shared,
      identity: this.identity,
      createMembership: (cell, identity, startedMs) =>
        new ownership.CellMember({cell, identity, startedMs}),
      createBuckets: () => new ownership.Buckets(),
      createKeys: () => new ownership.KeyRecords(),
    });
    const owners = new coordination.OwnerClient({...shared, cell: this.cell});
    const document = () => this.store.current?.document ?? null;
    this.limits = new coordination.LimitClient({
      ...shared,
      region: self.region,
      document,
      owners,
      createGrants: organisation =>
        new ownership.PrepaidGrant({organisation, holder: this.identity}),
    });
    this.keys = new coordination.KeyClient({...shared, document, owners});
    const handler = new coordination.ControlRequestHandler({
      ...shared,
      incarnation,
      cell: this.cell,
      configuration: this.configuration,
      startedCalls: new ownership.CallRegister(),
      status: () => ({}),
    });
    network.attach(self.address, {
      hello: {
        kind: 'hello',
        versionMinimum: 1,
        versionMaximum: 1,
        hostId: self.hostId,
        incarnation,
        service: self.service,
        availabilityZone: self.availabilityZone,
      },
      handle: (body, link) => handler.handle(body, link),
    });
  }

  start(parts: {cell: boolean}): void {
    void this.configuration.run(this.stopped.signal);
    if (parts.cell) void this.cell.run(this.stopped.signal);
  }
}

/** Daemons on one in-memory network in virtual time. */
export class FakeFleet {
  readonly clock = new runtime.ManualClock();
  readonly network = new fakeNetwork.FakeNetwork(this.clock);
  readonly platform = new FakePlatform(this.clock);
  readonly daemons = new Map<string, FakeDaemon>();
  private readonly random: runtime.RandomSource;
  private startCount = 0;

  constructor(
    seed: number,
    private readonly parts: {cell: boolean},
  ) {
    this.random = new runtime.SeededRandom(seed);
  }

  createRandom(): runtime.RandomSource {
    return new runtime.SeededRandom(Math.floor(this.random.next() * 2 ** 31));
  }

  publishDocument(revision: number, options = {}): void {
    this.platform.document = {
      revision,
      document: documentText(revision, options),
    };
  }

  publishHosts(hosts: readonly declaration.HostEntry[]): void {
    const revision = (this.platform.hostList?.revision ?? 0) + 1;
    this.platform.hostList = {revision, hosts};
  }

  /** Starts a process; a running one of the same host is killed first. */
  start(index: number, seeds: readonly string[] = []): FakeDaemon {
    this.stop(index);
    const self = hostEntry(index);
    const daemon = new FakeDaemon(self, `i${++this.startCount}`, this, seeds);
    this.daemons.set(self.hostId, daemon);
    daemon.start(this.parts);
    return daemon;
  }

  stop(index: number): void {
    const {hostId, address} = hostEntry(index);
    this.daemons.get(hostId)?.stopped.abort();
    this.daemons.delete(hostId);
    this.network.detach(address);
  }

  stopAll(): void {
    for (const daemon of this.daemons.values()) daemon.stopped.abort();
  }
}
