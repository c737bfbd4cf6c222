import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as continuity from './continuity.js';
import * as hostContacts from './host-contacts.js';
import * as quorums from './quorums.js';
import * as activations from './activations.js';
import * as viewHistory from './view-history.js';
import * as views from './views.js';

/** The owner in the former view that left on purpose (V9). */
interface Release {
  readonly former: protocol.View;
  readonly by: protocol.MemberIdentity;
  /** Since when this member may act for the released shards. */
  readonly sinceMs: number;
}

export interface ViewStateOptions {
  readonly identity: protocol.MemberIdentity;
  readonly startedMs: number;
  readonly contactLeaseMs: number;
  readonly takeoverFenceMs: number;
}

/**
 * The adopted view of one member, what it knows about older views, and
 * whether it acts under the adopted one (V1 to V5).
 */
export class ViewState {
  readonly history: viewHistory.ViewHistory;
  readonly contacts = new hostContacts.HostContacts();
  readonly contacted: quorums.Contacted;
  listed: readonly string[] = [];
  view: protocol.View | null = null;
  adoptedMs = -Infinity;
  /** When every shard of the adopted view could be acted for; null before. */
  activatedMs: number | null = null;

  private readonly identity: protocol.MemberIdentity;
  private readonly startedMs: number;
  private readonly continuity = new continuity.Continuity();
  private release: Release | null = null;
  private stopped = false;

  constructor(options: ViewStateOptions) {
    this.identity = options.identity;
    this.startedMs = options.startedMs;
    this.contacted = {
      self: options.identity,
      contacts: this.contacts,
      leaseMs: options.contactLeaseMs,
    };
    this.history = new viewHistory.ViewHistory(options.takeoverFenceMs);
  }

  /** Starts acting under no further view. */
  stop(): void {
    this.stopped = true;
  }

  /** Takes an answer; it counts from the instant its ping was sent. */
  recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void {
    const named = [...answer.history];
    if (answer.adopted) named.push(answer.adopted);
    if (!this.learnFrom(answer, named, nowMs)) return;
    if (!this.contacts.record(answer, pingSentMs, nowMs)) return;
    const contact = this.contacts.get(answer.from.hostId);
    if (contact) {
      this.history.observe(
        {
          identity: answer.from,
          adopted: answer.adopted,
          pingSentMs,
          firstHeardMs: contact.firstHeardMs,
        },
        nowMs,
      );
    }
    this.evaluate(nowMs);
  }

  /** Proposes a view by adopting it. */
  propose(members: readonly protocol.MemberIdentity[], nowMs: number): void {
    const view: protocol.View = {
      identity: {
        number: this.history.highestNumber + 1,
        // The incarnation keeps two processes of one host from proposing
        // different views under the same identity.
        proposer: views.memberKey(this.identity),
      },
      members,
    };
    if (this.history.merge([view], nowMs)) this.adopt(view, nowMs);
  }

  /** Hosts that are listed or in a view that may act. */
  knownHosts(): Set<string> {
    const hostIds = new Set(this.listed);
    for (const view of this.history.list()) {
      for (const member of view.members) hostIds.add(member.hostId);
    }
    return hostIds;
  }

  /** Takes what an answer says about views; false when it must be ignored. */
  private learnFrom(
    answer: protocol.ViewAnswer,
    named: readonly protocol.View[],
    nowMs: number,
  ): boolean {
    if (!this.view && answer.adopted) {
      // Only an answer hands on the history that a new member needs (V7).
      return this.join(answer.adopted, named, answer.active, nowMs);
    }
    const acting = answer.active ? answer.adopted : null;
    return this.learn(named, acting, nowMs);
  }

  private join(
    view: protocol.View,
    named: readonly protocol.View[],
    active: boolean,
    nowMs: number,
  ): boolean {
    if (!this.learn(named, active ? view : null, nowMs)) return false;
    if (!views.includes(view, this.identity) || !this.history.has(view)) {
      return true;
    }
    this.adopt(view, nowMs);
    this.adoptHighest(nowMs);
    return true;
  }

  /**
   * Merges views and adopts the highest known one. A process without a view
   * only remembers that the views exist.
   */
  learn(
    named: readonly protocol.View[],
    acting: protocol.View | null,
    nowMs: number,
  ): boolean {
    if (!this.history.merge(named, nowMs)) return false;
    this.adoptHighest(nowMs);
    if (acting) this.history.raiseFloor(acting, nowMs);
    return true;
  }

  private adoptHighest(nowMs: number): void {
    if (!this.view) return;
    const highest = this.history
      .list()
      .reduce((best, view) => (views.isHigher(view, best) ? view : best));
    if (views.isHigher(highest, this.view)) this.adopt(highest, nowMs);
  }

  private adopt(view: protocol.View, nowMs: number): void {
    this.closeTenure(nowMs);
    this.view = view;
    this.adoptedMs = nowMs;
    this.activatedMs = null;
    this.release = null;
    this.contacts.noteProposer(view);
    this.contacts.keepOnly(this.knownHosts());
    this.observeKnown(nowMs);
  }

  /** Remembers under which views this member acted until now (V4). */
  private closeTenure(nowMs: number): void {
    const view = this.view;
    const untilMs = view ? this.contactUntilMs(view, nowMs) : -Infinity;
    const acting = this.activatedMs !== null || this.continuity.isKept;
    const former =
      view && untilMs > nowMs && acting
        ? this.continuity.tenures(view, this.activatedMs)
        : [];
    this.continuity.follow(former, untilMs);
  }

  contactUntilMs(view: protocol.View, nowMs: number): number {
    return quorums.contactUntilMs(this.contacted, view, nowMs);
  }

  /** Applies to the history what this member knows without a new answer. */
  private observeKnown(nowMs: number): void {
    this.history.observe(
      {
        identity: this.identity,
        adopted: this.view,
        pingSentMs: Infinity,
        firstHeardMs: this.startedMs,
      },
      nowMs,
    );
    for (const contact of this.contacts.all()) {
      this.history.observe({...contact, pingSentMs: -Infinity}, nowMs);
    }
  }

  /** Settles older views, and starts to act when V2 and V3 hold. */
  evaluate(nowMs: number): void {
    const view = this.view;
    if (!view) return;
    if (this.history.size > 1) {
      this.observeKnown(nowMs);
      this.history.settle(
        view,
        hostIds => this.isBound(view, hostIds, nowMs),
        nowMs,
      );
    }
    if (!views.includes(view, this.identity)) return;
    if (this.activatedMs !== null || this.stopped) return;
    const inContact = this.contactUntilMs(view, nowMs) > nowMs;
    const others = this.history.others(view);
    this.continuity.check(others, inContact, nowMs);
    if (inContact) this.release ??= this.findRelease(view, others, nowMs);
    if (!inContact || others.length > 0) return;
    this.activatedMs = nowMs;
    this.history.raiseFloor(view, nowMs);
  }

  private isBound(
    view: protocol.View,
    hostIds: readonly string[],
    nowMs: number,
  ): boolean {
    return [hostIds, this.listed].every(
      hosts =>
        hosts.length === 0 ||
        quorums.isBound(this.contacted, hosts, view, this.adoptedMs, nowMs),
    );
  }

  /** Whether V4 or V9 waives the fence for a shard. */
  isWaived(shard: string, view: protocol.View): boolean {
    return this.isContinued(shard, view) || this.isReleased(shard);
  }

  ownedSinceMs(shard: string, view: protocol.View): number | null {
    const sinceMs = activations.ownedSinceMs(
      this.continuity.tenures(view, this.activatedMs),
      shard,
      (name, tenureView) => this.owns(name, tenureView),
    );
    if (!this.release || !this.isReleased(shard)) return sinceMs;
    return Math.min(sinceMs ?? Infinity, this.release.sinceMs);
  }

  /**
   * V4. A majority of each older view must have retired, or those members
   * could still form another view in which the shard has another owner.
   */
  private isContinued(shard: string, view: protocol.View): boolean {
    if (!this.continuity.isKept) return false;
    return this.history
      .others(view)
      .every(
        other => this.owns(shard, other) && this.history.hasRetired(other),
      );
  }

  private isReleased(shard: string): boolean {
    if (!this.release) return false;
    const owner = ownerIn(shard, this.release.former);
    return owner !== null && views.sameMember(owner, this.release.by);
  }

  /**
   * V9. Only a member that leaves proposes a view without itself, so the view
   * proves that its proposer has stopped acting. Nobody else owned its shards
   * in the former view, and no view in between can become active once a
   * majority of the former one has retired.
   */
  private findRelease(
    view: protocol.View,
    others: readonly protocol.View[],
    nowMs: number,
  ): Release | null {
    const [former] = others;
    if (others.length !== 1 || !this.history.hasRetired(former)) return null;
    const by = former.members.find(
      member => views.memberKey(member) === view.identity.proposer,
    );
    if (!by || views.includes(view, by)) return null;
    return {former, by, sinceMs: nowMs};
  }

  owns(shard: string, view: protocol.View): boolean {
    const owner = ownerIn(shard, view);
    return owner !== null && views.sameMember(owner, this.identity);
  }
}

/** Rendezvous hashing over the members of a view. */
export function ownerIn(
  shard: string,
  view: protocol.View,
): protocol.MemberIdentity | null {
  return (
    runtime.rendezvousOrder(shard, view.members, member => member.hostId)[0] ??
    null
  );
}
