import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as cellMember from '../cell-member.js';

export const STEP_MS = 50;
const PING_INTERVAL_MS = 250;

interface Message {
  readonly dueMs: number;
  readonly toHost: string;
  readonly deliver: (member: cellMember.CellMember) => void;
}

/** Simulates a cell on a network with loss, delay and partitions. */
export class CellCluster {
  nowMs = 0;
  readonly members = new Map<string, cellMember.CellMember>();
  /** Partition group by host; messages between groups are dropped. */
  groups = new Map<string, number>();
  lossRate = 0;
  maximumDelayMs = 0;
  /** Instants at which more than one member could act as owner of a shard. */
  readonly conflicts: string[] = [];
  private messages: Message[] = [];
  private readonly incarnationCounts = new Map<string, number>();

  constructor(
    private readonly random: runtime.RandomSource,
    private listed: readonly string[],
    private readonly shards: readonly string[] = ['s1', 's2', 's3', 's4'],
  ) {}

  /** Starts a process on a host, replacing an earlier one. */
  start(hostId: string): cellMember.CellMember {
    const incarnation = (this.incarnationCounts.get(hostId) ?? 0) + 1;
    this.incarnationCounts.set(hostId, incarnation);
    const member = new cellMember.CellMember({
      cell: 'c',
      identity: {hostId, incarnation: `i${incarnation}`},
      startedMs: this.nowMs,
    });
    member.setListedHosts(this.listed, this.nowMs);
    this.members.set(hostId, member);
    return member;
  }

  stop(hostId: string): void {
    this.members.delete(hostId);
  }

  setListedHosts(hostIds: readonly string[]): void {
    this.listed = hostIds;
    for (const member of this.members.values()) {
      member.setListedHosts(hostIds, this.nowMs);
    }
  }

  partition(...groups: readonly string[][]): void {
    this.groups = new Map(
      groups.flatMap((hosts, index) => hosts.map(host => [host, index])),
    );
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) this.step();
  }

  /** Returns the hosts that may currently act as owner of the shard. */
  owners(shard: string): string[] {
    return [...this.members]
      .filter(
        ([, member]) => member.permission(shard, this.nowMs).kind === 'granted',
      )
      .map(([hostId]) => hostId);
  }

  hasOwnerForEachShard(): boolean {
    return this.shards.every(shard => this.owners(shard).length === 1);
  }

  private step(): void {
    this.nowMs += STEP_MS;
    const dueMessages = this.messages.filter(
      message => message.dueMs <= this.nowMs,
    );
    this.messages = this.messages.filter(message => message.dueMs > this.nowMs);
    for (const message of dueMessages) {
      const member = this.members.get(message.toHost);
      if (member) message.deliver(member);
    }
    for (const [hostId, member] of this.members) {
      if (this.nowMs % PING_INTERVAL_MS === 0) {
        member.proposeIfNeeded(this.nowMs);
        this.pingAll(hostId, member);
      }
    }
    for (const shard of this.shards) {
      const owners = this.owners(shard);
      if (owners.length > 1) {
        this.conflicts.push(`${this.nowMs} ${shard}: ${owners.join(' ')}`);
      }
    }
  }

  private pingAll(hostId: string, member: cellMember.CellMember): void {
    const sentMs = this.nowMs;
    const ping = member.createPing(sentMs);
    for (const peer of member.peerHostIds) {
      this.send(hostId, peer, target => {
        const answer = target.answerPing(ping, this.nowMs);
        this.send(peer, hostId, receiver =>
          this.deliverAnswer(receiver, member, answer, sentMs),
        );
      });
    }
  }

  private deliverAnswer(
    receiver: cellMember.CellMember,
    pinger: cellMember.CellMember,
    answer: protocol.ViewAnswer,
    sentMs: number,
  ): void {
    // A new process of a host does not receive answers sent to the old one.
    if (receiver === pinger) receiver.recordAnswer(answer, sentMs, this.nowMs);
  }

  private send(
    from: string,
    to: string,
    deliver: (member: cellMember.CellMember) => void,
  ): void {
    if ((this.groups.get(from) ?? 0) !== (this.groups.get(to) ?? 0)) return;
    if (this.random.next() < this.lossRate) return;
    const delayMs = runtime.randomInteger(this.random, this.maximumDelayMs + 1);
    this.messages.push({dueMs: this.nowMs + delayMs, toHost: to, deliver});
  }
}
