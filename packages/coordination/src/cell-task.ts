import type * as declaration from '@camphorwharf/declaration';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as cellPinger from './cell-pinger.js';
import type * as configurationStore from './configuration-store.js';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as organisationLookup from './organisation-lookup.js';
import * as ownedState from './owned-state.js';
import * as peerRequests from './peer-requests.js';
import * as topology from './topology.js';
import * as viewPingCodec from './view-ping-codec.js';

/** Interval of applying the host list and proposing views. */
const MAINTENANCE_INTERVAL_MS = 250;

/**
 * Time limit for the delivery of handed-over state. A bucket level delivered
 * later could add to tokens that the next owner has already refilled.
 */
const HAND_OVER_TIMEOUT_MS = 1_500;

const HAND_OVER_RETRY_DELAY_MS = 100;

export interface CellTaskOptions {
  readonly self: declaration.HostEntry;
  readonly identity: protocol.MemberIdentity;
  readonly store: configurationStore.ConfigurationAccess;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerConnector;
  readonly createMembership: (
    cell: string,
    identity: protocol.MemberIdentity,
    startedMs: number,
  ) => ownership.CellMembership;
  readonly createBuckets: () => ownership.BucketTable;
  readonly createKeys: () => ownership.KeyTable;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** A cell that this process has entered, with the objects that serve it. */
interface Cell {
  readonly cellId: topology.CellId;
  readonly membership: ownership.CellMembership;
  readonly codec: viewPingCodec.ViewPingCodec;
  readonly state: ownedState.OwnedState;
  readonly pinger: cellPinger.CellPinger;
  /** Number and proposer of the last view that was logged and announced. */
  announcedView: string | null;
  /** The last answer to a ping of any member. */
  lastAnswer: protocol.ViewAnswer | null;
}

/** Requests that only the owner of a shard answers. */
export type OwnerRequest =
  | protocol.GrantRequest
  | protocol.GrantReturn
  | protocol.KeyClaim
  | protocol.KeySettle
  | protocol.BucketHandOver
  | protocol.KeyHandOver;

/** Runs this host's cell membership and serves the buckets and keys it owns. */
export class CellTask {
  private cell: Cell | null = null;
  /**
   * Entered cells by name. They are kept when the number of cells changes: if
   * it changes back, the member must not return to a lower view.
   */
  private readonly cells = new Map<string, Cell>();
  private readonly organisations = new organisationLookup.OrganisationLookup();
  private leaving = false;

  constructor(private readonly options: CellTaskOptions) {}

  /** The membership in the current cell; null before a cell is entered. */
  get membership(): ownership.CellMembership | null {
    return this.cell?.membership ?? null;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      this.performMaintenance(clock.monotonicMs());
      await clock.delay(MAINTENANCE_INTERVAL_MS, signal);
    }
    this.cell?.pinger.setHosts([]);
  }

  /** The owner of a shard in the adopted view; null for other cells. */
  ownerOf(id: topology.CellId, shard: string): protocol.MemberIdentity | null {
    if (this.cell?.membership.cell !== topology.cellName(id)) return null;
    return this.cell.membership.ownerOf(shard);
  }

  answerPing(
    ping: extensions.CompactViewPing,
    link: transport.PeerLink,
    nowMs: number,
  ): extensions.CompactViewAnswer | protocol.Unsupported {
    const cell = this.cell;
    if (!cell || cell.membership.cell !== ping.cell) {
      return {kind: 'unsupported'};
    }
    const {membership, codec} = cell;
    const {hostId, incarnation} = link.remote;
    const sender: protocol.MemberIdentity = {hostId, incarnation};
    cell.pinger.addInboundLink(link);
    const fullPing = codec.restorePing(ping, sender, cell.lastAnswer);
    const answer = membership.answerPing(
      fullPing ?? {...ping, from: sender, view: null, active: false},
      nowMs,
    );
    cell.lastAnswer = answer;
    this.announceAdoptedView(cell);
    return codec.compactAnswer(answer, ping, fullPing === null);
  }

  /** Answers `notOwner` unless this member is permitted to serve the shard. */
  answerOwnerRequest(body: OwnerRequest, nowMs: number): protocol.ControlReply {
    const cell = this.cell;
    if (!cell) return {kind: 'notOwner'};
    const {membership, state} = cell;
    const wallMs = this.options.clock.wallMs();
    switch (body.kind) {
      case 'grant':
        return state.grant(body, membership, nowMs);
      case 'grantReturn':
        return state.returnTokens(body, membership, nowMs);
      case 'keyClaim':
        return state.claim(body, membership, nowMs, wallMs);
      case 'keySettle':
        return state.settle(body, membership, nowMs);
      case 'bucketHandOver':
        if (body.cell !== membership.cell) return {kind: 'notOwner'};
        return state.receiveBuckets(body, membership, nowMs);
      case 'keyHandOver':
        if (body.cell !== membership.cell) return {kind: 'notOwner'};
        return state.receiveKeys(body, membership, nowMs, wallMs);
    }
  }

  /**
   * Proposes a view without this member, announces it and transfers buckets and
   * keys to the next owners. Resolves when done or after HAND_OVER_TIMEOUT_MS.
   */
  async leave(nowMs: number): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    const cell = this.cell;
    if (!cell) return;
    const handOvers = cell.state.leave(cell.membership, nowMs);
    const deadlineMs = nowMs + HAND_OVER_TIMEOUT_MS;
    // The next owners accept a hand-over only after they learn the new view.
    await Promise.all([
      cell.pinger.pingNow(this.peerHostIdsOf(cell)),
      ...handOvers.map(handOver => this.deliverHandOver(handOver, deadlineMs)),
    ]);
  }

  private performMaintenance(nowMs: number): void {
    this.enterAssignedCell(nowMs);
    const cell = this.cell;
    if (!cell) return;
    const listed = this.options.directory.hostsOfCell(cell.cellId);
    cell.membership.setListedHosts(
      listed.map(host => host.hostId),
      nowMs,
    );
    if (!this.leaving) cell.membership.proposeIfNeeded(nowMs);
    cell.pinger.setHosts(this.peerHostIdsOf(cell));
    this.announceAdoptedView(cell);
    this.options.metrics.gauge(
      'cell_view_number',
      'Number of the adopted view; 0 without a view',
      cell.membership.adopted?.identity.number ?? 0,
    );
  }

  /**
   * Logs a newly adopted view and pings all members immediately: the shards of
   * this member have no owner until a majority has answered in that view.
   */
  private announceAdoptedView(cell: Cell): void {
    const {adopted} = cell.membership;
    if (!adopted) return;
    const {number, proposer} = adopted.identity;
    const viewName = `${number}/${proposer}`;
    if (viewName === cell.announcedView) return;
    cell.announcedView = viewName;
    this.options.logger.info('view-adopted', {
      number,
      proposer,
      members: adopted.members.length,
    });
    void cell.pinger.pingNow(this.peerHostIdsOf(cell));
  }

  /** Enters the cell that the current document assigns to this host. */
  private enterAssignedCell(nowMs: number): void {
    const {self, store, directory} = this.options;
    const region = store.current?.document.regions.find(
      ({name}) => name === self.region,
    );
    if (!region || this.leaving) return;
    const cellId: topology.CellId = {
      region: region.name,
      index: directory.cellIndexOf(self.hostId, region.cells),
      count: region.cells,
    };
    const name = topology.cellName(cellId);
    if (this.cell?.membership.cell === name) return;
    this.cell?.pinger.setHosts([]);
    this.cell = this.cells.get(name) ?? this.createCell(cellId, nowMs);
    this.cells.set(name, this.cell);
    this.options.logger.info('cell-entered', {cell: name});
  }

  private createCell(cellId: topology.CellId, nowMs: number): Cell {
    const {options} = this;
    const membership = options.createMembership(
      topology.cellName(cellId),
      options.identity,
      nowMs,
    );
    const codec = new viewPingCodec.ViewPingCodec();
    return {
      cellId,
      membership,
      codec,
      state: new ownedState.OwnedState({
        region: cellId.region,
        buckets: options.createBuckets(),
        keys: options.createKeys(),
        document: () => options.store.current?.document ?? null,
        findOrganisation: name => this.findOrganisation(name),
      }),
      pinger: new cellPinger.CellPinger({...options, membership, codec}),
      announcedView: null,
      lastAnswer: null,
    };
  }

  private findOrganisation(name: string): declaration.Organisation | null {
    const document = this.options.store.current?.document;
    return document ? this.organisations.find(document, name) : null;
  }

  /** Host ids of listed hosts and view members, without this host. */
  private peerHostIdsOf(cell: Cell): string[] {
    const hostIds = new Set([
      ...this.options.directory
        .hostsOfCell(cell.cellId)
        .map(host => host.hostId),
      ...(cell.membership.adopted?.members ?? []).map(member => member.hostId),
    ]);
    hostIds.delete(this.options.identity.hostId);
    return [...hostIds];
  }

  private async deliverHandOver(
    handOver: ownedState.HandOver,
    deadlineMs: number,
  ): Promise<void> {
    const {directory, peers, clock, logger, metrics} = this.options;
    const host = directory.findHost(handOver.to.hostId);
    while (host && clock.monotonicMs() < deadlineMs) {
      try {
        const reply = await peerRequests.sendRequestToHost(
          peers,
          host,
          handOver.message,
          Math.max(1, deadlineMs - clock.monotonicMs()),
        );
        if (reply.kind === 'acknowledged') return;
      } catch (error) {
        // Retrying is safe: the receiver keeps only the first delivery.
        logger.debug('hand-over-failed', {error: String(error)});
      }
      await clock.delay(HAND_OVER_RETRY_DELAY_MS);
    }
    logger.warn('hand-over-lost', {to: handOver.to.hostId});
    metrics.count(
      'hand_overs_lost_total',
      'Hand-overs that the next owner did not take; their tokens are lost',
    );
  }
}
