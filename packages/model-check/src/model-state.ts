import * as ownership from '@camphorwharf/ownership';
import * as runtime from '@camphorwharf/runtime';
import * as actions from './actions.js';
import * as daemons from './daemon.js';
import * as invariantChecker from './invariant-checker.js';
import type * as messages from './messages.js';
import * as network from './network.js';
import * as platform from './platform.js';
import * as settings from './settings.js';
import * as stateHash from './state-hash.js';

export interface ModelStateOptions {
  readonly hosts: readonly string[];
  readonly factory: settings.ProductFactory;
  /** Source of clock rates and offsets; when absent, all clocks agree. */
  readonly clockRandom?: runtime.RandomSource;
}

/** State of one cell at an instant: its daemons, network and platform. */
export class ModelState {
  nowMs = 0;
  readonly daemons = new Map<string, daemons.Daemon>();
  readonly invariants = new invariantChecker.InvariantChecker();
  readonly platform: platform.Platform;
  readonly trace: string[] = [];
  private readonly network = new network.Network();
  private readonly incarnations = new Map<string, number>();
  private readonly factory: settings.ProductFactory;
  private callCount = 0;

  constructor(options: ModelStateOptions) {
    this.factory = options.factory;
    this.platform = new platform.Platform(options.hosts);
    for (const host of options.hosts) this.spawn(host, options.clockRandom);
  }

  /** Runs steps without faults or demand, and clears the trace. */
  runWithoutFaults(steps: number): void {
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
    this.trace.push(actions.formatAction(action));
    this.nowMs += settings.STEP_MS;
    this.network.advance(this.nowMs);
    this.platform.advance(this.nowMs);
    for (const [host, daemon] of this.daemons) {
      if (daemon.endsAtMs <= this.nowMs) this.daemons.delete(host);
    }
    // A process that resumes may act before it reads its messages.
    this.checkInvariants();
    this.deliverMessages(random);
    this.applyAction(action, random);
    for (const daemon of this.runningDaemons()) {
      this.readPlatform(daemon);
      daemon.act(this.nowMs, this.environmentOf(daemon, random));
    }
    this.checkInvariants();
    this.deliverMessages(random);
    this.checkInvariants();
  }

  /** Whether each shard has a member that may act as its owner. */
  allShardsOwned(): boolean {
    return settings.SHARDS.every(shard =>
      this.runningDaemons().some(daemon => daemon.mayAct(shard, this.nowMs)),
    );
  }

  /** Returns a hash under which equivalent states are equal. */
  hash(): number {
    const sequences = new Map<string, number>();
    for (const daemon of this.daemons.values()) {
      const {sequence} = daemon.grants.grant as unknown as {sequence: number};
      sequences.set(ownership.memberKey(daemon.identity), sequence);
    }
    return new stateHash.StateHasher({nowMs: this.nowMs, sequences}).hash(this);
  }

  private runningDaemons(): daemons.Daemon[] {
    return [...this.daemons.values()].filter(
      daemon => !daemon.isPaused(this.nowMs),
    );
  }

  private spawn(host: string, clockRandom?: runtime.RandomSource): void {
    const count = (this.incarnations.get(host) ?? 0) + 1;
    this.incarnations.set(host, count);
    const incarnation = `i${count}`;
    const daemon = new daemons.Daemon(
      {
        identity: {hostId: host, incarnation},
        startedMs: this.nowMs,
        clockRate: clockRandom ? 0.99 + 0.02 * clockRandom.next() : 1,
        clockOffsetMs: clockRandom
          ? runtime.randomInteger(clockRandom, 1_000_000)
          : 0,
        spendingMode: this.daemons.size % 2 === 0 ? 'late' : 'atOnce',
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
    daemon.offerRevision(read.revision, this.factory);
  }

  private applyAction(
    action: actions.Action,
    random?: runtime.RandomSource,
  ): void {
    switch (action.kind) {
      case 'none':
        break;
      case 'publish':
        this.platform.publishRevision();
        break;
      case 'platform':
        this.platform.injectFault(action.mode, this.nowMs + action.durationMs);
        break;
      case 'partition':
      case 'lose':
      case 'delay':
      case 'duplicate':
        this.network.injectFault(action, this.nowMs);
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
        this.kill(action.host);
        this.spawn(action.host, random);
        break;
      case 'replace':
        if (!this.tryChangeHosts(action.by, action.host)) break;
        this.kill(action.host);
        this.spawn(action.by, random);
        break;
      case 'unlist':
        this.tryChangeHosts(null, action.host);
        break;
      case 'leave':
        this.startLeaving(action.host, random);
        break;
      case 'call':
        this.startCall(action.host, action.key, random);
        break;
    }
  }

  /**
   * Changes the host list, unless that would remove a majority of the members
   * of some view at once. Rule V7 relies on the list in that case, so the model
   * cannot check it; see the README.
   */
  private tryChangeHosts(added: string | null, removed: string): boolean {
    const next = this.platform.hostsAfterChange(added, removed);
    for (const daemon of this.daemons.values()) {
      const members = daemon.member.adopted?.members ?? [];
      const kept = members.filter(({hostId}) => next.includes(hostId));
      if (members.length === 0) continue;
      if (kept.length < ownership.majorityOf(members.length)) return false;
    }
    this.platform.publishHosts(next);
    return true;
  }

  private kill(host: string): void {
    this.daemons.delete(host);
  }

  private startLeaving(host: string, random?: runtime.RandomSource): void {
    const daemon = this.daemons.get(host);
    if (!daemon || daemon.isPaused(this.nowMs)) return;
    if (!this.tryChangeHosts(null, host)) return;
    daemon.leave(this.nowMs, this.environmentOf(daemon, random));
    daemon.endsAtMs = this.nowMs + 2_000;
  }

  /** A caller sends a call with key number `key`, possibly as a retry. */
  private startCall(
    host: string,
    key: number,
    random?: runtime.RandomSource,
  ): void {
    const daemon = this.daemons.get(host);
    if (!daemon || daemon.isPaused(this.nowMs)) return;
    const idempotencyKey = this.invariants.idempotencyKeyOf(key, this.nowMs);
    const requestId = `r${++this.callCount}`;
    this.invariants.recordSend(requestId, idempotencyKey);
    const targets = [...this.daemons.values()]
      .filter(other => other !== daemon)
      .map(other => other.identity);
    if (targets.length === 0) return;
    daemon.startCall(
      requestId,
      idempotencyKey,
      targets.slice(0, 2),
      this.nowMs,
      this.environmentOf(daemon, random),
    );
  }

  private deliverMessages(random?: runtime.RandomSource): void {
    for (;;) {
      const message = this.network.takeNextDue(this.nowMs, host => {
        const daemon = this.daemons.get(host);
        return daemon !== undefined && !daemon.isPaused(this.nowMs);
      });
      if (!message) return;
      const daemon = this.daemons.get(message.to);
      if (!daemon) continue;
      if (daemon.identity.incarnation !== message.toIncarnation) continue;
      daemon.receive(message, this.nowMs, this.environmentOf(daemon, random));
    }
  }

  private environmentOf(
    daemon: daemons.Daemon,
    random?: runtime.RandomSource,
  ): daemons.DaemonEnvironment {
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
        onTokensSpent: tokens =>
          this.invariants.recordSpending(tokens, this.nowMs),
        onCallRun: requestId => this.invariants.recordRun(requestId),
        onCallOutcome: (requestId, outcome) =>
          this.invariants.recordOutcome(requestId, outcome),
      },
    };
  }

  private checkInvariants(): void {
    const running = this.runningDaemons();
    for (const shard of settings.SHARDS) {
      const acting = running.filter(daemon => daemon.mayAct(shard, this.nowMs));
      this.invariants.checkOwners(
        shard,
        acting.map(daemon => daemon.identity),
      );
    }
    for (const daemon of this.daemons.values()) {
      this.invariants.checkRevision(daemon.identity, daemon.revision);
    }
  }
}
