import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';
import * as url from 'node:url';
import type * as deployments from './deployments.js';
import * as processSet from './process-set.js';

/** A host of the demo, which runs a backend server and its daemon. */
export interface DemoHost {
  readonly entry: declaration.HostEntry;
  readonly operatorPort: number;
  readonly backendServerPort: number;
  readonly settingsFile: string;
  backendServer: processSet.DemoProcess | null;
  daemon: processSet.DemoProcess | null;
}

export interface DemoFleetOptions {
  /**
   * Uses one backend server process for all daemons. It serves the first
   * service of the deployment and makes no downstream calls.
   */
  readonly sharedBackendServer?: boolean;
}

const LOOPBACK = '127.0.0.1';
const READY_TIMEOUT_MS = 30_000;

/** Runs all hosts of a deployment as local processes on loopback. */
export class DemoFleet {
  readonly hosts: DemoHost[] = [];
  platformUrl = '';

  constructor(
    private readonly deployment: deployments.DemoDeployment,
    private readonly directory: string,
    private readonly processes: processSet.ProcessSet,
    private readonly clock: runtime.Clock,
    private readonly seed: number,
    private readonly options: DemoFleetOptions = {},
  ) {}

  /** Starts the platform stand-in, the backend servers and the daemons. */
  async start(progress: (message: string) => void): Promise<void> {
    const platform = await this.processes.start(
      'platform',
      resolveProgram('@camphorwharf/stand-ins', 'platform-main.js'),
      [],
    );
    this.platformUrl = `http://${LOOPBACK}:${String(platform.firstLine['port'])}`;
    await this.allocateHosts();
    progress(`starting ${this.hosts.length} daemons and their backend servers`);
    await this.publishHosts();
    if (this.options.sharedBackendServer && this.hosts[0]) {
      await this.startBackendServer(this.hosts[0]);
    }
    await Promise.all(this.hosts.map(host => this.startHost(host)));
  }

  /** Waits until every daemon reports readiness. */
  async waitUntilReady(): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + READY_TIMEOUT_MS;
    for (const host of this.hosts) {
      while (!(await isReady(host.operatorPort))) {
        if (this.clock.monotonicMs() > deadlineMs) {
          throw new runtime.TimeoutError(
            `${host.entry.hostId} did not become ready in time; its log is in ${this.directory}`,
          );
        }
        await this.clock.delay(50);
      }
    }
  }

  /** Publishes a document, which the platform stand-in serves immediately. */
  async publishDocument(
    document: declaration.PublishedDocument,
  ): Promise<void> {
    const text = declaration.serializeDocument(document);
    await this.postControl('document', {
      revision: document.revision,
      document: text,
    });
  }

  /** Publishes the host list without the hosts whose daemon has left. */
  async publishHosts(
    excludedHostIds: ReadonlySet<string> = new Set(),
  ): Promise<void> {
    const hosts = this.hosts
      .map(host => host.entry)
      .filter(entry => !excludedHostIds.has(entry.hostId));
    await this.postControl('hosts', {hosts});
  }

  /** Sends fault settings to a backend server and returns its report. */
  async controlBackendServer(
    host: DemoHost,
    body: Readonly<Record<string, unknown>>,
  ): Promise<Readonly<Record<string, unknown>>> {
    return postJson(
      `http://${LOOPBACK}:${host.backendServerPort}/control`,
      body,
    );
  }

  hostsOfService(service: string): DemoHost[] {
    return this.hosts.filter(host => host.entry.service === service);
  }

  callerUrls(excludedHostIds: ReadonlySet<string> = new Set()): string[] {
    return this.hosts
      .filter(host => !excludedHostIds.has(host.entry.hostId))
      .map(host => `http://${LOOPBACK}:${host.entry.callerPort}`);
  }

  private async postControl(
    kind: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await postJson(`${this.platformUrl}/control/${kind}`, body);
  }

  private async allocateHosts(): Promise<void> {
    const {availabilityZones, region, services} = this.deployment;
    const totalHosts = services.reduce(
      (sum, {hostCount}) => sum + hostCount,
      0,
    );
    const ports = await findFreePorts(4 * totalHosts);
    for (const service of services) {
      for (let index = 0; index < service.hostCount; index++) {
        const hostId = `${service.name}-${index + 1}`;
        const [callerPort, peerPort, operatorPort, backendServerPort] =
          ports.splice(0, 4);
        const sharedHost = this.options.sharedBackendServer && this.hosts[0];
        this.hosts.push({
          entry: {
            hostId,
            address: LOOPBACK,
            callerPort,
            peerPort,
            service: service.name,
            region,
            availabilityZone:
              availabilityZones[this.hosts.length % availabilityZones.length],
            state: declaration.HostState.live,
          },
          operatorPort,
          backendServerPort: sharedHost
            ? sharedHost.backendServerPort
            : backendServerPort,
          settingsFile: path.join(this.directory, `${hostId}.toml`),
          backendServer: null,
          daemon: null,
        });
      }
    }
  }

  private async startHost(host: DemoHost): Promise<void> {
    if (!this.options.sharedBackendServer) await this.startBackendServer(host);
    await this.startDaemon(host);
  }

  private async startBackendServer(host: DemoHost): Promise<void> {
    const {entry} = host;
    const service = this.deployment.services.find(
      candidate => candidate.name === entry.service,
    )!;
    const index = this.hosts.indexOf(host);
    host.backendServer = await this.processes.start(
      `${entry.hostId}-backend-server`,
      resolveProgram('@camphorwharf/stand-ins', 'backend-server-main.js'),
      [
        `--port=${host.backendServerPort}`,
        `--service=${service.name}`,
        `--slots=${service.slots}`,
        `--connection-limit=${service.connectionLimit}`,
        `--service-time-ms=${service.serviceTimeMs}`,
        `--seed=${this.seed * 1_000 + index}`,
        `--daemon-url=http://${LOOPBACK}:${entry.callerPort}`,
        `--downstream=${JSON.stringify(this.options.sharedBackendServer ? [] : service.downstream)}`,
      ],
    );
  }

  /** Starts or restarts the daemon of a host. */
  async startDaemon(host: DemoHost): Promise<void> {
    fs.writeFileSync(host.settingsFile, this.renderSettings(host));
    host.daemon = await this.processes.start(
      `${host.entry.hostId}-daemon`,
      resolveProgram('@camphorwharf/daemon', 'main.js'),
      ['--settings', host.settingsFile],
    );
  }

  private renderSettings(host: DemoHost): string {
    const {entry} = host;
    const seeds = this.hosts
      .filter(other => other !== host)
      .slice(0, 3)
      .map(other => `"${LOOPBACK}:${other.entry.peerPort}"`);
    return [
      `host_id = "${entry.hostId}"`,
      `region = "${entry.region}"`,
      `availability_zone = "${entry.availabilityZone}"`,
      `service = "${entry.service}"`,
      '[listen]',
      `address = "${LOOPBACK}"`,
      `caller_port = ${entry.callerPort}`,
      `peer_port = ${entry.peerPort}`,
      `operator_port = ${host.operatorPort}`,
      '[backend_server]',
      `address = "${LOOPBACK}"`,
      `port = ${host.backendServerPort}`,
      '[platform]',
      `url = "${this.platformUrl}"`,
      '[peers]',
      `seeds = [${seeds.join(', ')}]`,
      '',
    ].join('\n');
  }
}

function resolveProgram(packageName: string, file: string): string {
  const indexFile = url.fileURLToPath(import.meta.resolve(packageName));
  return path.join(path.dirname(indexFile), file);
}

async function isReady(operatorPort: number): Promise<boolean> {
  try {
    const response = await fetch(`http://${LOOPBACK}:${operatorPort}/readyz`);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
}

async function postJson(
  target: string,
  body: Readonly<Record<string, unknown>>,
): Promise<Readonly<Record<string, unknown>>> {
  const response = await fetch(target, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  if (!response.ok) {
    throw new runtime.ConnectionError(
      `${target} responded with status ${response.status}; check that it is the URL of a stand-in`,
    );
  }
  return (await response.json()) as Record<string, unknown>;
}

/** Finds free ports; all are open at the same time, so that they differ. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      {length: count},
      () =>
        new Promise<net.Server>(resolve => {
          const server = net.createServer();
          server.listen(0, LOOPBACK, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map(
    server => (server.address() as net.AddressInfo).port,
  );
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}
