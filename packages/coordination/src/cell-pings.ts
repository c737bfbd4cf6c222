import type * as declaration from '@camphorwharf/declaration';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as peerExchange from './peer-exchange.js';
import type * as viewExchange from './view-exchange.js';

/** Interval of the pings to each member of the cell. */
export const PING_INTERVAL_MS = 500;

const PING_TIMEOUT_MS = 500;

/**
 * How long a member waits for the connection of the other end before it opens
 * one itself. Two connections for each pair would double the heartbeats, to
 * 11.8 KB/s for a member of a cell of 33.
 */
const INCOMING_WAIT_MS = 1_000;

export interface CellPingsOptions {
  readonly self: Pick<declaration.HostEntry, 'hostId'>;
  readonly membership: ownership.CellMembership;
  readonly exchange: viewExchange.ViewExchange;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerDirectory;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
}

/** Pings the members of one cell, with one task for each. */
export class CellPings {
  /** Stops the task of each host. */
  private readonly tasks = new Map<string, AbortController>();
  /** Connections that members with a lower host id opened. */
  private readonly incoming = new Map<string, transport.PeerLink>();

  constructor(private readonly options: CellPingsOptions) {}

  /** Starts and stops tasks so that exactly these hosts are pinged. */
  setHosts(hostIds: readonly string[]): void {
    const wanted = new Set(hostIds);
    for (const [hostId, controller] of this.tasks) {
      if (wanted.has(hostId)) continue;
      controller.abort();
      this.tasks.delete(hostId);
      this.options.exchange.forget(hostId);
      this.incoming.delete(hostId);
    }
    for (const hostId of wanted) {
      if (this.tasks.has(hostId)) continue;
      const controller = new AbortController();
      this.tasks.set(hostId, controller);
      void this.loop(hostId, controller.signal);
    }
  }

  /** Remembers the connection on which a member's ping arrived. */
  noteIncoming(link: transport.PeerLink): void {
    const {hostId} = link.remote;
    if (hostId < this.options.self.hostId && this.tasks.has(hostId)) {
      this.incoming.set(hostId, link);
    }
  }

  /** Pings these hosts once, at once. */
  async pingAll(hostIds: readonly string[]): Promise<void> {
    await Promise.all(hostIds.map(hostId => this.ping(hostId, true)));
  }

  private async loop(hostId: string, signal: AbortSignal): Promise<void> {
    const {clock, random} = this.options;
    await clock.delay(random.next() * PING_INTERVAL_MS, signal);
    const openAtMs = clock.monotonicMs() + INCOMING_WAIT_MS;
    while (!signal.aborted) {
      const startMs = clock.monotonicMs();
      await this.ping(hostId, startMs >= openAtMs);
      const elapsedMs = clock.monotonicMs() - startMs;
      await clock.delay(Math.max(50, PING_INTERVAL_MS - elapsedMs), signal);
    }
  }

  private async ping(hostId: string, mayOpen: boolean): Promise<void> {
    const {directory, clock, metrics} = this.options;
    const host = directory.entry(hostId);
    if (!host) return;
    try {
      const link = await this.linkTo(host, mayOpen);
      if (!link) return;
      if (await this.pingOnce(link, false)) await this.pingOnce(link, true);
    } catch (error) {
      if (peerExchange.showsUnreachable(error)) {
        directory.noteUnreachable(hostId, clock.monotonicMs());
      }
      metrics.count(
        'cell_ping_failures_total',
        'View pings that were not answered',
      );
    }
  }

  /** Resolves to null while the other end is left to connect. */
  private async linkTo(
    host: declaration.HostEntry,
    mayOpen: boolean,
  ): Promise<transport.PeerLink | null> {
    const incoming = this.incoming.get(host.hostId);
    if (incoming && !incoming.closed) return incoming;
    this.incoming.delete(host.hostId);
    if (host.hostId < this.options.self.hostId && !mayOpen) return null;
    return peerExchange.connectToHost(this.options.peers, host);
  }

  /** Resolves to true when the peer needs the view in full. */
  private async pingOnce(
    link: transport.PeerLink,
    full: boolean,
  ): Promise<boolean> {
    const {membership, exchange, clock, directory} = this.options;
    const sentMs = clock.monotonicMs();
    const ping = membership.createPing(sentMs);
    const sender: protocol.MemberIdentity = {
      hostId: link.remote.hostId,
      incarnation: link.remote.incarnation,
    };
    const reply: protocol.ControlReply = await link.request(
      exchange.compactPing(ping, sender, full),
      PING_TIMEOUT_MS,
    );
    directory.noteReachable(sender.hostId, sender.incarnation);
    if (reply.kind !== 'viewAnswer') return false;
    const compact: extensions.CompactViewAnswer = reply;
    const answer = exchange.restoreAnswer(compact, sender);
    if (!answer) return true;
    membership.recordAnswer(answer, sentMs, clock.monotonicMs());
    return compact.needsView === true;
  }
}
