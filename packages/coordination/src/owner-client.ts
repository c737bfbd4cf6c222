import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as cellTask from './cell-task.js';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as peerRequests from './peer-requests.js';
import * as topology from './topology.js';

/** Maximum number of hosts tried in one search for an owner. */
const MAXIMUM_HOSTS_PER_SEARCH = 3;

/** Maximum number of cached owners. */
const MAXIMUM_HINTS = 20_000;

export type OwnerReply =
  | {readonly kind: 'reply'; readonly reply: protocol.ControlReply}
  /** None of the tried hosts is the owner; the request was not processed. */
  | {readonly kind: 'notOwner'}
  /** The request failed; it may or may not have been processed. */
  | {readonly kind: 'failed'};

export interface OwnerClientOptions {
  readonly self: Pick<declaration.HostEntry, 'hostId'>;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerConnector;
  readonly cell: Pick<cellTask.CellTask, 'ownerOf' | 'answerOwnerRequest'>;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
}

/** Locates the current owner of a shard and sends requests to it. */
export class OwnerClient {
  /** Owner host ids by cell and shard, in order of their last change. */
  private readonly ownerHints = new Map<string, string>();

  constructor(private readonly options: OwnerClientOptions) {}

  /** Sends to the owner, following hints in `notOwner` answers. */
  async send(
    cellId: topology.CellId,
    shard: string,
    body: cellTask.OwnerRequest,
    timeoutMs: number,
  ): Promise<OwnerReply> {
    const {clock} = this.options;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    const triedHostIds = new Set<string>();
    let hostId = this.firstHostId(cellId, shard);
    while (hostId !== null && triedHostIds.size < MAXIMUM_HOSTS_PER_SEARCH) {
      triedHostIds.add(hostId);
      const remainingMs = deadlineMs - clock.monotonicMs();
      if (remainingMs <= 0) break;
      const reply = await this.sendToHost(hostId, body, remainingMs);
      if (!reply) {
        this.ownerHints.delete(hintKey(cellId, shard));
        return {kind: 'failed'};
      }
      if (reply.kind !== 'notOwner') {
        this.storeHint(cellId, shard, hostId);
        return {kind: 'reply', reply};
      }
      this.ownerHints.delete(hintKey(cellId, shard));
      hostId = this.nextHostId(cellId, reply, triedHostIds);
    }
    return {kind: 'notOwner'};
  }

  private firstHostId(cellId: topology.CellId, shard: string): string | null {
    const localOwner = this.options.cell.ownerOf(cellId, shard);
    if (localOwner) return localOwner.hostId;
    const hint = this.ownerHints.get(hintKey(cellId, shard));
    return hint ?? this.randomHostId(cellId, new Set());
  }

  private nextHostId(
    cellId: topology.CellId,
    reply: extensions.NotOwnerWithHint,
    triedHostIds: ReadonlySet<string>,
  ): string | null {
    const hint = reply.ownerHostId;
    if (hint !== undefined) return triedHostIds.has(hint) ? null : hint;
    return this.randomHostId(cellId, triedHostIds);
  }

  private randomHostId(
    cellId: topology.CellId,
    triedHostIds: ReadonlySet<string>,
  ): string | null {
    const {directory, clock, random} = this.options;
    const nowMs = clock.monotonicMs();
    const hosts = directory
      .hostsOfCell(cellId)
      .filter(
        ({hostId}) =>
          !triedHostIds.has(hostId) &&
          !directory.isLeaving(hostId, nowMs) &&
          !directory.isSuspected(hostId, nowMs),
      );
    const index = runtime.randomInteger(random, hosts.length);
    return hosts[index]?.hostId ?? null;
  }

  /** Resolves to null when the request failed. */
  private async sendToHost(
    hostId: string,
    body: cellTask.OwnerRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply | null> {
    const {self, directory, peers, cell, clock} = this.options;
    if (hostId === self.hostId) {
      return cell.answerOwnerRequest(body, clock.monotonicMs());
    }
    const host = directory.findHost(hostId);
    if (!host) return {kind: 'notOwner'};
    try {
      return await peerRequests.sendRequestToHost(peers, host, body, timeoutMs);
    } catch (error) {
      if (peerRequests.isUnreachableError(error)) {
        directory.noteUnreachable(hostId, clock.monotonicMs());
      }
      return null;
    }
  }

  private storeHint(
    cellId: topology.CellId,
    shard: string,
    hostId: string,
  ): void {
    const key = hintKey(cellId, shard);
    if (this.ownerHints.get(key) === hostId) return;
    this.ownerHints.delete(key);
    this.ownerHints.set(key, hostId);
    const oldest = this.ownerHints.keys().next();
    if (this.ownerHints.size > MAXIMUM_HINTS && !oldest.done) {
      this.ownerHints.delete(oldest.value);
    }
  }
}

function hintKey(cellId: topology.CellId, shard: string): string {
  return `${topology.cellName(cellId)}|${shard}`;
}
