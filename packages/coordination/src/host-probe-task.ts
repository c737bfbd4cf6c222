import type * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as hostDirectory from './host-directory.js';
import * as peerExchange from './peer-exchange.js';

/** Interval at which doubtful hosts are looked at again. */
const PROBE_INTERVAL_MS = 1_000;

/** Probes per interval; more doubtful hosts are probed in turn. */
const PROBE_LIMIT = 16;

export interface HostProbeTaskOptions {
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerDirectory;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
}

/** Finds out whether suspected and leaving hosts have returned. */
export class HostProbeTask {
  private next = 0;

  constructor(private readonly options: HostProbeTaskOptions) {}

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.options;
    while (!signal.aborted) {
      const jitter = 0.5 + random.next();
      await clock.delay(PROBE_INTERVAL_MS * jitter, signal);
      if (signal.aborted) return;
      await Promise.all(
        this.choose(clock.monotonicMs()).map(host => this.probe(host)),
      );
    }
  }

  private choose(nowMs: number): declaration.HostEntry[] {
    const hosts = this.options.directory.doubtfulHosts(nowMs);
    if (hosts.length <= PROBE_LIMIT) return [...hosts];
    const chosen = Array.from(
      {length: PROBE_LIMIT},
      (_, index) => hosts[(this.next + index) % hosts.length],
    );
    this.next += PROBE_LIMIT;
    return chosen;
  }

  private async probe(host: declaration.HostEntry): Promise<void> {
    const {directory, peers, clock} = this.options;
    try {
      const link = await peerExchange.connectToHost(peers, host);
      directory.noteReachable(host.hostId, link.remote.incarnation);
    } catch {
      directory.noteUnreachable(host.hostId, clock.monotonicMs());
    }
  }
}
