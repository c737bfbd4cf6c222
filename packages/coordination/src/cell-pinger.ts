import type * as declaration from '@camphorwharf/declaration';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as peerRequests from './peer-requests.js';
import type * as viewPingCodec from './view-ping-codec.js';

/** Interval between view pings to each member of the cell. */
export const PING_INTERVAL_MS = 500;

const PING_TIMEOUT_MS = 500;

/**
 * How long a member waits for an inbound connection from a peer with a lower
 * host id before it connects itself. Two connections per pair would double the
 * heartbeat traffic, to 11.8 KB/s for a member of a cell of 33.
 */
const INBOUND_LINK_WAIT_MS = 1_000;

export interface CellPingerOptions {
  readonly self: Pick<declaration.HostEntry, 'hostId'>;
  readonly membership: ownership.CellMembership;
  readonly codec: viewPingCodec.ViewPingCodec;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerConnector;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly metrics: runtime.Metrics;
}

/** Sends view pings to the members of one cell, with one loop per member. */
export class CellPinger {
  /** Abort controllers of the ping loops by host id. */
  private readonly pingLoops = new Map<string, AbortController>();
  /** Connections opened by members with a lower host id, by host id. */
  private readonly inboundLinks = new Map<string, transport.PeerLink>();

  constructor(private readonly options: CellPingerOptions) {}

  /** Starts and stops ping loops so that exactly these hosts are pinged. */
  setHosts(hostIds: readonly string[]): void {
    const wanted = new Set(hostIds);
    for (const [hostId, controller] of this.pingLoops) {
      if (wanted.has(hostId)) continue;
      controller.abort();
      this.pingLoops.delete(hostId);
      this.options.codec.removePeer(hostId);
      this.inboundLinks.delete(hostId);
    }
    for (const hostId of wanted) {
      if (this.pingLoops.has(hostId)) continue;
      const controller = new AbortController();
      this.pingLoops.set(hostId, controller);
      void this.runPingLoop(hostId, controller.signal);
    }
  }

  /** Stores the connection on which a ping arrived, for reuse by this side. */
  addInboundLink(link: transport.PeerLink): void {
    const {hostId} = link.remote;
    if (hostId < this.options.self.hostId && this.pingLoops.has(hostId)) {
      this.inboundLinks.set(hostId, link);
    }
  }

  /** Pings these hosts once without waiting for the next interval. */
  async pingNow(hostIds: readonly string[]): Promise<void> {
    await Promise.all(hostIds.map(hostId => this.ping(hostId, true)));
  }

  private async runPingLoop(
    hostId: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, random} = this.options;
    await clock.delay(random.next() * PING_INTERVAL_MS, signal);
    const connectAfterMs = clock.monotonicMs() + INBOUND_LINK_WAIT_MS;
    while (!signal.aborted) {
      const startMs = clock.monotonicMs();
      await this.ping(hostId, startMs >= connectAfterMs);
      const elapsedMs = clock.monotonicMs() - startMs;
      await clock.delay(Math.max(50, PING_INTERVAL_MS - elapsedMs), signal);
    }
  }

  private async ping(hostId: string, mayConnect: boolean): Promise<void> {
    const {directory, clock, metrics} = this.options;
    const host = directory.findHost(hostId);
    if (!host) return;
    try {
      const link = await this.linkFor(host, mayConnect);
      if (!link) return;
      if (await this.sendPing(link, false)) await this.sendPing(link, true);
    } catch (error) {
      if (peerRequests.isUnreachableError(error)) {
        directory.noteUnreachable(hostId, clock.monotonicMs());
      }
      metrics.count(
        'cell_ping_failures_total',
        'View pings that were not answered',
      );
    }
  }

  /** Resolves to null while this member waits for the peer to connect. */
  private async linkFor(
    host: declaration.HostEntry,
    mayConnect: boolean,
  ): Promise<transport.PeerLink | null> {
    const inboundLink = this.inboundLinks.get(host.hostId);
    if (inboundLink && !inboundLink.closed) return inboundLink;
    this.inboundLinks.delete(host.hostId);
    if (host.hostId < this.options.self.hostId && !mayConnect) return null;
    return peerRequests.connectToHost(this.options.peers, host);
  }

  /** Resolves to true when the ping must be repeated with the full view. */
  private async sendPing(
    link: transport.PeerLink,
    full: boolean,
  ): Promise<boolean> {
    const {membership, codec, clock, directory} = this.options;
    const sentMs = clock.monotonicMs();
    const ping = membership.createPing(sentMs);
    const peer: protocol.MemberIdentity = {
      hostId: link.remote.hostId,
      incarnation: link.remote.incarnation,
    };
    const reply: protocol.ControlReply = await link.request(
      codec.compactPing(ping, peer, full),
      PING_TIMEOUT_MS,
    );
    directory.noteReachable(peer.hostId, peer.incarnation);
    if (reply.kind !== 'viewAnswer') return false;
    const compactAnswer: extensions.CompactViewAnswer = reply;
    const answer = codec.restoreAnswer(compactAnswer, peer);
    if (!answer) return true;
    membership.recordAnswer(answer, sentMs, clock.monotonicMs());
    return compactAnswer.needsView === true;
  }
}
