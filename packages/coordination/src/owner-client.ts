import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as cellTask from './cell-task.js';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as peerExchange from './peer-exchange.js';
import * as topology from './topology.js';

/** Hosts of a cell that are asked in one search for an owner. */
const SEARCH_LIMIT = 3;

/** Owners remembered from answers. */
const HINT_LIMIT = 20_000;

export type OwnerReply =
  | {readonly kind: 'reply'; readonly reply: protocol.ControlReply}
  /** No host that was asked may act now; the request was not taken. */
  | {readonly kind: 'notOwner'}
  /** An exchange failed; the request may or may not have been taken. */
  | {readonly kind: 'failed'};

export interface OwnerClientOptions {
  readonly self: Pick<declaration.HostEntry, 'hostId'>;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerDirectory;
  readonly cell: Pick<cellTask.CellTask, 'ownerOf' | 'answerOwnerRequest'>;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
}

/** Sends requests to the owner of a shard, wherever it is at the time. */
export class OwnerClient {
  /** Owner host by cell and shard, in order of their last change. */
  private readonly hints = new Map<string, string>();

  constructor(private readonly options: OwnerClientOptions) {}

  /** Asks the owner; follows the hints of hosts that are not. */
  async ask(
    place: topology.CellPlace,
    shard: string,
    body: cellTask.OwnerRequest,
    timeoutMs: number,
  ): Promise<OwnerReply> {
    const {clock} = this.options;
    const endMs = clock.monotonicMs() + timeoutMs;
    const asked = new Set<string>();
    let next = this.firstHost(place, shard);
    while (next !== null && asked.size < SEARCH_LIMIT) {
      asked.add(next);
      const leftMs = endMs - clock.monotonicMs();
      if (leftMs <= 0) break;
      const reply = await this.askHost(next, body, leftMs);
      if (!reply) {
        this.hints.delete(hintKey(place, shard));
        return {kind: 'failed'};
      }
      if (reply.kind !== 'notOwner') {
        this.remember(place, shard, next);
        return {kind: 'reply', reply};
      }
      this.hints.delete(hintKey(place, shard));
      next = this.nextHost(place, reply, asked);
    }
    return {kind: 'notOwner'};
  }

  private firstHost(place: topology.CellPlace, shard: string): string | null {
    const local = this.options.cell.ownerOf(place, shard);
    if (local) return local.hostId;
    const hint = this.hints.get(hintKey(place, shard));
    return hint ?? this.randomHost(place, new Set());
  }

  private nextHost(
    place: topology.CellPlace,
    reply: extensions.NotOwnerWithHint,
    asked: ReadonlySet<string>,
  ): string | null {
    const hint = reply.ownerHostId;
    if (hint !== undefined) return asked.has(hint) ? null : hint;
    return this.randomHost(place, asked);
  }

  private randomHost(
    place: topology.CellPlace,
    asked: ReadonlySet<string>,
  ): string | null {
    const {directory, clock, random} = this.options;
    const nowMs = clock.monotonicMs();
    const hosts = directory
      .hostsOfCell(place)
      .filter(
        ({hostId}) =>
          !asked.has(hostId) &&
          !directory.isLeaving(hostId, nowMs) &&
          !directory.isSuspected(hostId, nowMs),
      );
    const index = runtime.randomInteger(random, hosts.length);
    return hosts[index]?.hostId ?? null;
  }

  /** Resolves to null when the exchange failed. */
  private async askHost(
    hostId: string,
    body: cellTask.OwnerRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply | null> {
    const {self, directory, peers, cell, clock} = this.options;
    if (hostId === self.hostId) {
      return cell.answerOwnerRequest(body, clock.monotonicMs());
    }
    const host = directory.entry(hostId);
    if (!host) return {kind: 'notOwner'};
    try {
      return await peerExchange.requestOfHost(peers, host, body, timeoutMs);
    } catch (error) {
      if (peerExchange.showsUnreachable(error)) {
        directory.noteUnreachable(hostId, clock.monotonicMs());
      }
      return null;
    }
  }

  private remember(
    place: topology.CellPlace,
    shard: string,
    hostId: string,
  ): void {
    const key = hintKey(place, shard);
    if (this.hints.get(key) === hostId) return;
    this.hints.delete(key);
    this.hints.set(key, hostId);
    const oldest = this.hints.keys().next();
    if (this.hints.size > HINT_LIMIT && !oldest.done) {
      this.hints.delete(oldest.value);
    }
  }
}

function hintKey(place: topology.CellPlace, shard: string): string {
  return `${topology.cellName(place)}|${shard}`;
}
