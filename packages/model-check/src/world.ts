import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as actions from './actions.js';
import * as daemons from './daemon.js';
import type * as messages from './messages.js';
import * as network from './network.js';
import * as platform from './platform.js';
import * as properties from './properties.js';
import * as settings from './settings.js';
import * as stateHash from './state-hash.js';

export interface WorldOptions {
  readonly hosts: readonly string[];
  readonly factory: settings.Factory;
  /** Random numbers for clocks; without them all clocks agree. */
  readonly clocks?: runtime.RandomSource;
}

/** The daemons of one cell, their network and platform, at one instant. */
export class World {
  nowMs = 0;
  readonly daemons = new Map<string, daemons.Daemon>();
  readonly properties = new properties.Properties();
  readonly platform: platform.Platform;
  readonly trace: string[] = [];
  private readonly network = new network.Network();
  private readonly incarnations = new Map<string, number>();
  private readonly factory: settings.Factory;
  private callCount = 0;

  constructor(options: WorldOptions) {
    this.factory = options.factory;
    this.platform = new platform.Platform(options.hosts);
    for (const host of options.hosts) this.start(host, options.clocks);
  }

  /** Lets time pass without faults. */
  settle(steps: number): void {
    for (const daemon of this.daemons.values()) daemon.grants.hasDemand = false;
    for (let step = 0; step < steps; step++) this.step({kind: 'none'});
    this.trace.length = 0;
  }

  /** Hosts that run a process. */
  get hosts(): string[] {
    return [...this.daemons.keys()];
  }

  /** Applies an action and lets one step of time pass. */
  step(action: actions.Action, random?: runtime.RandomSource): void {
    this.trace.push(actions.describe(action));
    this.nowMs += settings.STEP_MS;
    this.network.advance(this.nowMs);
    this.platform.advance(this.nowMs);
    for (const [host, daemon] of this.daemons) {
      if (daemon.endsAtMs <= this.nowMs) this.daemons.delete(host);
    }
    // A process that wakes may act before it reads its messages.
    this.check();
    this.deliver(random);
    this.apply(action, random);
    for (const daemon of this.running()) {
      this.readPlatform(daemon);
      daemon.act(this.nowMs, this.around(daemon, random));
    }
    this.check();
    this.deliver(random);
    this.check();
  }

  /** Whether some member may act for each shard. */
  isOwned(): boolean {
    return settings.SHARDS.every(shard =>
      this.running().some(daemon => daemon.mayAct(shard, this.nowMs)),
    );
  }

  hash(): number {
    const sequences = new Map<string, number>();
    for (const daemon of this.daemons.values()) {
      const {sequence} = daemon.grants.grant as unknown as {sequence: number};
      sequences.set(ownership.memberKey(daemon.identity), sequence);
    }
    return new stateHash.StateHasher({nowMs: this.nowMs, sequences}).hash(this);
  }

  private running(): daemons.Daemon[] {
    return [...this.daemons.values()].filter(
      daemon => !daemon.isPaused(this.nowMs),
    );
  }

  private start(host: string, clocks?: runtime.RandomSource): void {
    const count = (this.incarnations.get(host) ?? 0) + 1;
    this.incarnations.set(host, count);
    const incarnation = `i${count}`;
    const daemon = new daemons.Daemon(
      {
        identity: {hostId: host, incarnation},
        startedMs: this.nowMs,
        clockRate: clocks ? 0.99 + 0.02 * clocks.next() : 1,
        clockOffsetMs: clocks ? runtime.randomInteger(clocks, 1_000_000) : 0,
        spending: this.daemons.size % 2 === 0 ? 'late' : 'atOnce',
        revision: 0,
      },
      this.factory,
    );
    this.daemons.set(host, daemon);
    this.readPlatform(daemon);
  }

  private readPlatform(daemon: daemons.Daemon): void {
    const read = this.platform.read();
    if (!read) return;
    daemon.member.setListedHosts(read.hosts, daemon.localMs(this.nowMs));
    daemon.takeRevision(read.revision, this.factory);
  }

  private apply(action: actions.Action, random?: runtime.RandomSource): void {
    switch (action.kind) {
      case 'none':
        break;
      case 'publish':
        this.platform.publish();
        break;
      case 'platform':
        this.platform.disturb(action.mode, this.nowMs + action.durationMs);
        break;
      case 'partition':
      case 'lose':
      case 'delay':
      case 'duplicate':
        this.network.disturb(action, this.nowMs);
        break;
      case 'demand': {
        const daemon = this.daemons.get(action.host);
        if (daemon) daemon.grants.hasDemand = action.on;
        break;
      }
      case 'pause': {
        const daemon = this.daemons.get(action.host);
        if (daemon) daemon.pausedUntilMs = this.nowMs + action.durationMs;
        break;
      }
      case 'restart':
        this.stop(action.host);
        this.start(action.host, random);
        break;
      case 'replace':
        if (!this.changeList(action.by, action.host)) break;
        this.stop(action.host);
        this.start(action.by, random);
        break;
      case 'unlist':
        this.changeList(null, action.host);
        break;
      case 'leave':
        this.leave(action.host, random);
        break;
      case 'call':
        this.call(action.host, action.key, random);
        break;
    }
  }

  /**
   * Changes the list, unless that would take a majority of the members of
   * some view off it at once. Rule V7 relies on the list for that case, so
   * it is outside of what can be checked; see the README.
   */
  private changeList(added: string | null, removed: string): boolean {
    const next = this.platform.changed(added, removed);
    for (const daemon of this.daemons.values()) {
      const members = daemon.member.adopted?.members ?? [];
      const kept = members.filter(({hostId}) => next.includes(hostId));
      if (members.length === 0) continue;
      if (kept.length < ownership.majorityOf(members.length)) return false;
    }
    this.platform.list(next);
    return true;
  }

  private stop(host: string): void {
    this.daemons.delete(host);
  }

  private leave(host: string, random?: runtime.RandomSource): void {
    const daemon = this.daemons.get(host);
    if (!daemon || daemon.isPaused(this.nowMs)) return;
    if (!this.changeList(null, host)) return;
    daemon.leave(this.nowMs, this.around(daemon, random));
    daemon.endsAtMs = this.nowMs + 2_000;
  }

  /** A caller sends key number `key` to a daemon, perhaps as a retry. */
  private call(host: string, key: number, random?: runtime.RandomSource): void {
    const daemon = this.daemons.get(host);
    if (!daemon || daemon.isPaused(this.nowMs)) return;
    const idempotencyKey = this.properties.keyOf(key, this.nowMs);
    const requestId = `r${++this.callCount}`;
    this.properties.sent(requestId, idempotencyKey);
    const targets = [...this.daemons.values()]
      .filter(other => other !== daemon)
      .map(other => other.identity);
    if (targets.length === 0) return;
    daemon.startCall(
      requestId,
      idempotencyKey,
      targets.slice(0, 2),
      this.nowMs,
      this.around(daemon, random),
    );
  }

  private deliver(random?: runtime.RandomSource): void {
    for (;;) {
      const message = this.network.takeDue(this.nowMs, host => {
        const daemon = this.daemons.get(host);
        return daemon !== undefined && !daemon.isPaused(this.nowMs);
      });
      if (!message) return;
      const daemon = this.daemons.get(message.to);
      if (!daemon) continue;
      if (daemon.identity.incarnation !== message.toIncarnation) continue;
      daemon.receive(message, this.nowMs, this.around(daemon, random));
    }
  }

  private around(
    daemon: daemons.Daemon,
    random?: runtime.RandomSource,
  ): daemons.Surroundings {
    const send: messages.Send = (to, body) => {
      const target = this.daemons.get(to);
      if (!target) return;
      this.network.send(
        {
          from: daemon.identity.hostId,
          to,
          toIncarnation: target.identity.incarnation,
          sentMs: this.nowMs,
          body,
        },
        random,
      );
    };
    return {
      factory: this.factory,
      send,
      observer: {
        spent: tokens => this.properties.spent(tokens, this.nowMs),
        ran: requestId => this.properties.ran(requestId),
        outcome: (requestId, outcome) =>
          this.properties.outcome(requestId, outcome),
      },
    };
  }

  private check(): void {
    const running = this.running();
    for (const shard of settings.SHARDS) {
      const acting = running.filter(daemon => daemon.mayAct(shard, this.nowMs));
      this.properties.owners(
        shard,
        acting.map(daemon => daemon.identity),
      );
    }
    for (const daemon of this.daemons.values()) {
      this.properties.revision(daemon.identity, daemon.revision);
    }
  }
}
