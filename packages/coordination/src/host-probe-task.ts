import type * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as hostDirectory from './host-directory.js';
import * as peerRequests from './peer-requests.js';

/** Mean interval between probes of leaving and suspected hosts. */
const PROBE_INTERVAL_MS = 1_000;

/** Probes per interval; larger sets of hosts are probed round-robin. */
const MAXIMUM_PROBES_PER_INTERVAL = 16;

export interface HostProbeTaskOptions {
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerConnector;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
}

/** Probes suspected and leaving hosts to detect their return. */
export class HostProbeTask {
  private nextIndex = 0;

  constructor(private readonly options: HostProbeTaskOptions) {}

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.options;
    while (!signal.aborted) {
      const jitter = 0.5 + random.next();
      await clock.delay(PROBE_INTERVAL_MS * jitter, signal);
      if (signal.aborted) return;
      await Promise.all(
        this.selectHosts(clock.monotonicMs()).map(host => this.probe(host)),
      );
    }
  }

  private selectHosts(nowMs: number): declaration.HostEntry[] {
    const hosts = this.options.directory.hostsToProbe(nowMs);
    if (hosts.length <= MAXIMUM_PROBES_PER_INTERVAL) return [...hosts];
    const selected = Array.from(
      {length: MAXIMUM_PROBES_PER_INTERVAL},
      (_, index) => hosts[(this.nextIndex + index) % hosts.length],
    );
    this.nextIndex += MAXIMUM_PROBES_PER_INTERVAL;
    return selected;
  }

  private async probe(host: declaration.HostEntry): Promise<void> {
    const {directory, peers, clock} = this.options;
    try {
      const link = await peerRequests.connectToHost(peers, host);
      directory.noteReachable(host.hostId, link.remote.incarnation);
    } catch {
      directory.noteUnreachable(host.hostId, clock.monotonicMs());
    }
  }
}
