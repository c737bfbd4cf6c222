import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as interfaces from './interfaces.js';
import * as quorums from './quorums.js';
import * as viewChange from './view-change.js';
import * as viewHistory from './view-history.js';
import * as viewState from './view-state.js';
import * as views from './views.js';

export interface CellMemberOptions {
  readonly cell: string;
  readonly identity: protocol.MemberIdentity;
  /** Monotonic instant at which the process started. */
  readonly startedMs: number;
  readonly contactLeaseMs?: number;
  readonly takeoverFenceMs?: number;
  readonly suspectAfterMs?: number;
  readonly proposalFallbackMs?: number;
}

/** The view agreement protocol of one cell member (rules V1 to V8). */
export class CellMember implements interfaces.CellMembership {
  readonly cell: string;
  readonly identity: protocol.MemberIdentity;

  private readonly state: viewState.ViewState;
  private readonly startedMs: number;
  private readonly fenceMs: number;
  private readonly suspectMs: number;
  private readonly fallbackMs: number;

  private isLeaving = false;
  /** Since when a view change is pending, and the view adopted then. */
  private pendingChange: {sinceMs: number; view: protocol.View | null} | null =
    null;
  private lastCheckMs: number;
  private resumedAtMs: number;

  constructor(options: CellMemberOptions) {
    this.cell = options.cell;
    this.identity = options.identity;
    this.startedMs = options.startedMs;
    this.fenceMs = options.takeoverFenceMs ?? constants.TAKEOVER_FENCE_MS;
    this.suspectMs = options.suspectAfterMs ?? constants.SUSPECT_AFTER_MS;
    this.fallbackMs =
      options.proposalFallbackMs ?? constants.PROPOSAL_FALLBACK_MS;
    this.state = new viewState.ViewState({
      identity: options.identity,
      startedMs: options.startedMs,
      contactLeaseMs: options.contactLeaseMs ?? constants.CONTACT_LEASE_MS,
      takeoverFenceMs: this.fenceMs,
    });
    this.lastCheckMs = options.startedMs;
    this.resumedAtMs = options.startedMs;
  }

  get adopted(): protocol.View | null {
    return this.state.view;
  }

  /** Hosts to ping: listed hosts and the hosts of known views. */
  get peerHostIds(): readonly string[] {
    const hostIds = this.state.knownHostIds();
    hostIds.delete(this.identity.hostId);
    return [...hostIds].sort();
  }

  setListedHosts(hostIds: readonly string[], _nowMs: number): void {
    this.state.listedHostIds = [...new Set(hostIds)]
      .sort()
      .slice(0, constants.CELL_MEMBER_LIMIT);
    this.state.contacts.retainHosts(this.state.knownHostIds());
  }

  createPing(nowMs: number): protocol.ViewPing {
    this.state.evaluate(nowMs);
    return {
      kind: 'viewPing',
      cell: this.cell,
      from: this.identity,
      view: this.state.view,
      active: this.state.activatedMs !== null,
    };
  }

  answerPing(ping: protocol.ViewPing, nowMs: number): protocol.ViewAnswer {
    if (ping.view && ping.cell === this.cell) {
      this.state.mergeViews([ping.view], ping.active ? ping.view : null, nowMs);
    }
    this.state.evaluate(nowMs);
    return {
      kind: 'viewAnswer',
      from: this.identity,
      adopted: this.state.view,
      history: this.state.history.list(),
      active: this.state.activatedMs !== null,
      leaving: this.isLeaving,
    };
  }

  recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void {
    const hostId = answer.from.hostId;
    if (hostId === this.identity.hostId) return;
    if (!this.state.knownHostIds().has(hostId)) return;
    this.state.recordAnswer(answer, pingSentMs, nowMs);
  }

  proposeIfNeeded(nowMs: number): void {
    // No pings were sent during a pause, so the lack of recent answers does
    // not show that a host has failed.
    if (nowMs - this.lastCheckMs > this.suspectMs / 2) {
      this.resumedAtMs = nowMs;
    }
    this.lastCheckMs = nowMs;
    this.state.evaluate(nowMs);
    if (this.isLeaving) return;
    if (this.state.view) this.changeView(this.state.view, nowMs);
    else this.bootstrap(nowMs);
  }

  ownerOf(shard: string): protocol.MemberIdentity | null {
    return this.state.view
      ? viewState.ownerInView(shard, this.state.view)
      : null;
  }

  permission(shard: string, nowMs: number): interfaces.OwnerPermission {
    if (this.isLeaving) return denied('leaving');
    const view = this.state.view;
    if (!view) return denied('noView');
    if (!this.state.isOwner(shard, view)) return denied('otherOwner');
    this.state.evaluate(nowMs);
    const untilMs = this.state.contactUntilMs(view, nowMs);
    if (untilMs <= nowMs) return denied('noContact');
    if (
      this.state.activatedMs === null &&
      !this.state.isFenceWaived(shard, view)
    ) {
      return denied('fence');
    }
    const ownerSinceMs = this.state.ownedSinceMs(shard, view);
    if (ownerSinceMs === null) return denied('fence');
    return {kind: 'granted', untilMs, ownerSinceMs};
  }

  leave(nowMs: number): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.state.stopActivating();
    const view = this.state.view;
    if (!view || !views.hasMember(view, this.identity)) return;
    const members = view.members.filter(
      member => !views.isSameMember(member, this.identity),
    );
    const context = this.viewChangeContext(view, nowMs);
    if (members.length > 0 && viewChange.reachesMajority(context)) {
      this.state.propose(members, nowMs);
    }
  }

  private changeView(view: protocol.View, nowMs: number): void {
    const context = this.viewChangeContext(view, nowMs);
    const isFirst = viewChange.isFirstProposer(context);
    const members = isFirst
      ? viewChange.firstProposerMembers(context)
      : viewChange.fallbackMembers(context);
    // A view proposed by a minority can never become active, and the other
    // members would have to wait until it has retired.
    if (!members || !viewChange.reachesMajority(context)) {
      this.pendingChange = null;
      return;
    }
    if (isFirst || this.mayFallBack(nowMs)) this.state.propose(members, nowMs);
  }

  /** Whether a change of the adopted view has been pending long enough. */
  private mayFallBack(nowMs: number): boolean {
    if (
      !this.pendingChange ||
      !views.isSameView(this.pendingChange.view, this.state.view)
    ) {
      this.pendingChange = {sinceMs: nowMs, view: this.state.view};
    }
    return nowMs - this.pendingChange.sinceMs >= this.fallbackMs;
  }

  private viewChangeContext(
    adopted: protocol.View,
    nowMs: number,
  ): viewChange.ViewChangeContext {
    return {
      self: this.identity,
      adopted,
      listedHostIds: this.state.listedHostIds,
      contacts: this.state.contacts,
      reachableSinceMs: nowMs - this.suspectMs,
      toleratesUnreached:
        nowMs - Math.max(this.resumedAtMs, this.state.adoptedMs) <
        this.suspectMs,
    };
  }

  /** Proposes a cell's first view if no contacted host has one (rule V7). */
  private bootstrap(nowMs: number): void {
    if (nowMs - this.startedMs < this.fenceMs) return;
    if (!this.state.listedHostIds.includes(this.identity.hostId)) return;
    const members = quorums.bootstrapMembers(
      this.state.quorumContext,
      this.state.listedHostIds,
      this.state.history,
      this.fenceMs,
      nowMs,
    );
    if (!members) {
      this.pendingChange = null;
      return;
    }
    const isFirstProposer = members[0].hostId === this.identity.hostId;
    if (!isFirstProposer && !this.mayFallBack(nowMs)) return;
    const placeholder = viewHistory.placeholderView(this.state.listedHostIds);
    if (!this.state.history.merge([placeholder], nowMs)) return;
    this.state.propose(members, nowMs);
  }
}

function denied(
  reason: Extract<interfaces.OwnerPermission, {kind: 'denied'}>['reason'],
): interfaces.OwnerPermission {
  return {kind: 'denied', reason};
}
