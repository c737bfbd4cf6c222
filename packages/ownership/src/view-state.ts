import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as continuity from './continuity.js';
import * as hostContacts from './host-contacts.js';
import * as quorums from './quorums.js';
import * as activations from './activations.js';
import * as viewHistory from './view-history.js';
import * as views from './views.js';

/** A planned departure of an owner in the former view (rule V9). */
interface Release {
  readonly former: protocol.View;
  readonly leaver: protocol.MemberIdentity;
  /** Since when this member may act as owner of the released shards. */
  readonly sinceMs: number;
}

export interface ViewStateOptions {
  readonly identity: protocol.MemberIdentity;
  readonly startedMs: number;
  readonly contactLeaseMs: number;
  readonly takeoverFenceMs: number;
}

/**
 * The adopted view of one member, its knowledge of older views, and whether
 * the member is active under the adopted one (rules V1 to V5).
 */
export class ViewState {
  readonly history: viewHistory.ViewHistory;
  readonly contacts = new hostContacts.HostContacts();
  readonly quorumContext: quorums.QuorumContext;
  listedHostIds: readonly string[] = [];
  view: protocol.View | null = null;
  adoptedMs = -Infinity;
  /** When the member became active for all of its shards; null before. */
  activatedMs: number | null = null;

  private readonly identity: protocol.MemberIdentity;
  private readonly startedMs: number;
  private readonly continuity = new continuity.Continuity();
  private release: Release | null = null;
  private isStopped = false;

  constructor(options: ViewStateOptions) {
    this.identity = options.identity;
    this.startedMs = options.startedMs;
    this.quorumContext = {
      self: options.identity,
      contacts: this.contacts,
      leaseMs: options.contactLeaseMs,
    };
    this.history = new viewHistory.ViewHistory(options.takeoverFenceMs);
  }

  /** Prevents this member from becoming active under any further view. */
  stopActivating(): void {
    this.isStopped = true;
  }

  /** Processes an answer; its contact lease starts when its ping was sent. */
  recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void {
    const namedViews = [...answer.history];
    if (answer.adopted) namedViews.push(answer.adopted);
    if (!this.mergeAnswer(answer, namedViews, nowMs)) return;
    if (!this.contacts.record(answer, pingSentMs, nowMs)) return;
    const contact = this.contacts.get(answer.from.hostId);
    if (contact) {
      this.history.observe(
        {
          identity: answer.from,
          adopted: answer.adopted,
          pingSentMs,
          firstContactMs: contact.firstContactMs,
        },
        nowMs,
      );
    }
    this.evaluate(nowMs);
  }

  /** Proposes a view by adopting it; pings and answers propagate it. */
  propose(members: readonly protocol.MemberIdentity[], nowMs: number): void {
    const view: protocol.View = {
      identity: {
        number: this.history.highestNumber + 1,
        // Without the incarnation, two successive processes of a host could
        // propose different views under the same identity.
        proposer: views.memberKey(this.identity),
      },
      members,
    };
    if (this.history.merge([view], nowMs)) this.adopt(view, nowMs);
  }

  /** Hosts that are listed or in a view that may still be active. */
  knownHostIds(): Set<string> {
    const hostIds = new Set(this.listedHostIds);
    for (const view of this.history.list()) {
      for (const member of view.members) hostIds.add(member.hostId);
    }
    return hostIds;
  }

  /** Merges the views in an answer; false when the answer must be ignored. */
  private mergeAnswer(
    answer: protocol.ViewAnswer,
    namedViews: readonly protocol.View[],
    nowMs: number,
  ): boolean {
    if (!this.view && answer.adopted) {
      // A new member needs the history, which only answers carry (rule V7).
      return this.join(answer.adopted, namedViews, answer.active, nowMs);
    }
    const activeView = answer.active ? answer.adopted : null;
    return this.mergeViews(namedViews, activeView, nowMs);
  }

  private join(
    view: protocol.View,
    namedViews: readonly protocol.View[],
    active: boolean,
    nowMs: number,
  ): boolean {
    if (!this.mergeViews(namedViews, active ? view : null, nowMs)) return false;
    if (!views.hasMember(view, this.identity) || !this.history.has(view)) {
      return true;
    }
    this.adopt(view, nowMs);
    this.adoptHighest(nowMs);
    return true;
  }

  /**
   * Merges views into the history and adopts the highest known one. A process
   * without an adopted view only adds them to the history.
   */
  mergeViews(
    namedViews: readonly protocol.View[],
    activeView: protocol.View | null,
    nowMs: number,
  ): boolean {
    if (!this.history.merge(namedViews, nowMs)) return false;
    this.adoptHighest(nowMs);
    if (activeView) this.history.removeSuperseded(activeView, nowMs);
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
    this.endActivation(nowMs);
    this.view = view;
    this.adoptedMs = nowMs;
    this.activatedMs = null;
    this.release = null;
    this.contacts.markLeavingProposer(view);
    this.contacts.retainHosts(this.knownHostIds());
    this.reapplyObservations(nowMs);
  }

  /** Records the views under which this member was active (rule V4). */
  private endActivation(nowMs: number): void {
    const view = this.view;
    const untilMs = view ? this.contactUntilMs(view, nowMs) : -Infinity;
    const wasActive = this.activatedMs !== null || this.continuity.isContinuous;
    const formerActivations =
      view && untilMs > nowMs && wasActive
        ? this.continuity.activations(view, this.activatedMs)
        : [];
    this.continuity.beginView(formerActivations, untilMs);
  }

  contactUntilMs(view: protocol.View, nowMs: number): number {
    return quorums.contactUntilMs(this.quorumContext, view, nowMs);
  }

  /** Applies this member's own state and its known contacts to the history. */
  private reapplyObservations(nowMs: number): void {
    this.history.observe(
      {
        identity: this.identity,
        adopted: this.view,
        pingSentMs: Infinity,
        firstContactMs: this.startedMs,
      },
      nowMs,
    );
    for (const contact of this.contacts.all()) {
      this.history.observe({...contact, pingSentMs: -Infinity}, nowMs);
    }
  }

  /** Removes retired views and becomes active once rules V2 and V3 hold. */
  evaluate(nowMs: number): void {
    const view = this.view;
    if (!view) return;
    if (this.history.size > 1) {
      this.reapplyObservations(nowMs);
      this.history.removeRetired(
        view,
        hostIds => this.isKnownTo(view, hostIds, nowMs),
        nowMs,
      );
    }
    if (!views.hasMember(view, this.identity)) return;
    if (this.activatedMs !== null || this.isStopped) return;
    const hasContact = this.contactUntilMs(view, nowMs) > nowMs;
    const others = this.history.otherViews(view);
    this.continuity.evaluate(others, hasContact, nowMs);
    if (hasContact) this.release ??= this.findRelease(view, others, nowMs);
    if (!hasContact || others.length > 0) return;
    this.activatedMs = nowMs;
    this.history.removeSuperseded(view, nowMs);
  }

  private isKnownTo(
    view: protocol.View,
    hostIds: readonly string[],
    nowMs: number,
  ): boolean {
    return [hostIds, this.listedHostIds].every(
      hosts =>
        hosts.length === 0 ||
        quorums.isKnownTo(
          this.quorumContext,
          hosts,
          view,
          this.adoptedMs,
          nowMs,
        ),
    );
  }

  /** Whether rule V4 or V9 waives the takeover fence for a shard. */
  isFenceWaived(shard: string, view: protocol.View): boolean {
    return this.isOwnershipContinuous(shard, view) || this.isReleased(shard);
  }

  ownedSinceMs(shard: string, view: protocol.View): number | null {
    const sinceMs = activations.ownedSinceMs(
      this.continuity.activations(view, this.activatedMs),
      shard,
      (name, activeView) => this.isOwner(name, activeView),
    );
    if (!this.release || !this.isReleased(shard)) return sinceMs;
    return Math.min(sinceMs ?? Infinity, this.release.sinceMs);
  }

  /**
   * Rule V4. A majority of each older view must have retired; otherwise its
   * members could still form a view in which another member owns the shard.
   */
  private isOwnershipContinuous(shard: string, view: protocol.View): boolean {
    if (!this.continuity.isContinuous) return false;
    return this.history
      .otherViews(view)
      .every(
        other => this.isOwner(shard, other) && this.history.hasRetired(other),
      );
  }

  private isReleased(shard: string): boolean {
    if (!this.release) return false;
    const owner = ownerInView(shard, this.release.former);
    return owner !== null && views.isSameMember(owner, this.release.leaver);
  }

  /**
   * Rule V9. Only a leaving member proposes a view without itself, so such a
   * view proves that its proposer no longer acts as owner. No other member
   * owned its shards in the former view, and no intermediate view can become
   * active once a majority of the former one has retired.
   */
  private findRelease(
    view: protocol.View,
    others: readonly protocol.View[],
    nowMs: number,
  ): Release | null {
    const [former] = others;
    if (others.length !== 1 || !this.history.hasRetired(former)) return null;
    const leaver = former.members.find(
      member => views.memberKey(member) === view.identity.proposer,
    );
    if (!leaver || views.hasMember(view, leaver)) return null;
    return {former, leaver, sinceMs: nowMs};
  }

  isOwner(shard: string, view: protocol.View): boolean {
    const owner = ownerInView(shard, view);
    return owner !== null && views.isSameMember(owner, this.identity);
  }
}

/** Returns the owner of a shard by rendezvous hashing over the members. */
export function ownerInView(
  shard: string,
  view: protocol.View,
): protocol.MemberIdentity | null {
  return (
    runtime.rendezvousOrder(shard, view.members, member => member.hostId)[0] ??
    null
  );
}
