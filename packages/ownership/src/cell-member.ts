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

/** One member's part in agreeing on the view of a cell (V1 to V8). */
export class CellMember implements interfaces.CellMembership {
  readonly cell: string;
  readonly identity: protocol.MemberIdentity;

  private readonly state: viewState.ViewState;
  private readonly startedMs: number;
  private readonly fenceMs: number;
  private readonly suspectMs: number;
  private readonly fallbackMs: number;

  private isLeaving = false;
  /** Since when a change is wanted, and the view adopted at that time. */
  private wanted: {sinceMs: number; view: protocol.View | null} | null = null;
  private consideredMs: number;
  private resumedMs: number;

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
    this.consideredMs = options.startedMs;
    this.resumedMs = options.startedMs;
  }

  get adopted(): protocol.View | null {
    return this.state.view;
  }

  /** Hosts to ping: the listed ones and those of the known views. */
  get peerHostIds(): readonly string[] {
    const hostIds = this.state.knownHosts();
    hostIds.delete(this.identity.hostId);
    return [...hostIds].sort();
  }

  setListedHosts(hostIds: readonly string[], _nowMs: number): void {
    this.state.listed = [...new Set(hostIds)]
      .sort()
      .slice(0, constants.CELL_MEMBER_LIMIT);
    this.state.contacts.keepOnly(this.state.knownHosts());
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
      this.state.learn([ping.view], ping.active ? ping.view : null, nowMs);
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
    if (!this.state.knownHosts().has(hostId)) return;
    this.state.recordAnswer(answer, pingSentMs, nowMs);
  }

  proposeIfNeeded(nowMs: number): void {
    // After a pause nobody has been asked lately, so nobody is suspected yet.
    if (nowMs - this.consideredMs > this.suspectMs / 2) {
      this.resumedMs = nowMs;
    }
    this.consideredMs = nowMs;
    this.state.evaluate(nowMs);
    if (this.isLeaving) return;
    if (this.state.view) this.changeView(this.state.view, nowMs);
    else this.bootstrap(nowMs);
  }

  ownerOf(shard: string): protocol.MemberIdentity | null {
    return this.state.view ? viewState.ownerIn(shard, this.state.view) : null;
  }

  permission(shard: string, nowMs: number): interfaces.OwnerPermission {
    if (this.isLeaving) return denied('leaving');
    const view = this.state.view;
    if (!view) return denied('noView');
    if (!this.state.owns(shard, view)) return denied('otherOwner');
    this.state.evaluate(nowMs);
    const untilMs = this.state.contactUntilMs(view, nowMs);
    if (untilMs <= nowMs) return denied('noContact');
    if (this.state.activatedMs === null && !this.state.isWaived(shard, view)) {
      return denied('fence');
    }
    const ownerSinceMs = this.state.ownedSinceMs(shard, view);
    if (ownerSinceMs === null) return denied('fence');
    return {kind: 'granted', untilMs, ownerSinceMs};
  }

  leave(nowMs: number): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.state.stop();
    const view = this.state.view;
    if (!view || !views.includes(view, this.identity)) return;
    const members = view.members.filter(
      member => !views.sameMember(member, this.identity),
    );
    const situation = this.situation(view, nowMs);
    if (members.length > 0 && viewChange.reachesMajority(situation)) {
      this.state.propose(members, nowMs);
    }
  }

  private changeView(view: protocol.View, nowMs: number): void {
    const situation = this.situation(view, nowMs);
    const first = viewChange.proposesFirst(situation);
    const members = first
      ? viewChange.wantedMembers(situation)
      : viewChange.fallbackMembers(situation);
    // A view that a minority proposes can never act, and would have to be
    // settled by the others.
    if (!members || !viewChange.reachesMajority(situation)) {
      this.wanted = null;
      return;
    }
    if (first || this.hasWaited(nowMs)) this.state.propose(members, nowMs);
  }

  /** Whether a change of the adopted view was wanted for the fallback time. */
  private hasWaited(nowMs: number): boolean {
    if (!this.wanted || !views.sameView(this.wanted.view, this.state.view)) {
      this.wanted = {sinceMs: nowMs, view: this.state.view};
    }
    return nowMs - this.wanted.sinceMs >= this.fallbackMs;
  }

  private situation(
    adopted: protocol.View,
    nowMs: number,
  ): viewChange.Situation {
    return {
      self: this.identity,
      adopted,
      listed: this.state.listed,
      contacts: this.state.contacts,
      reachedAfterMs: nowMs - this.suspectMs,
      sparesSilent:
        nowMs - Math.max(this.resumedMs, this.state.adoptedMs) < this.suspectMs,
    };
  }

  /** Proposes the first view of a cell whose heard hosts have none (V7). */
  private bootstrap(nowMs: number): void {
    if (nowMs - this.startedMs < this.fenceMs) return;
    if (!this.state.listed.includes(this.identity.hostId)) return;
    const heard = quorums.startableMembers(
      this.state.contacted,
      this.state.listed,
      this.state.history,
      this.fenceMs,
      nowMs,
    );
    if (!heard) {
      this.wanted = null;
      return;
    }
    const first = heard[0].hostId === this.identity.hostId;
    if (!first && !this.hasWaited(nowMs)) return;
    const origin = viewHistory.viewOfHosts(this.state.listed);
    if (!this.state.history.merge([origin], nowMs)) return;
    this.state.propose(heard, nowMs);
  }
}

function denied(
  reason: Extract<interfaces.OwnerPermission, {kind: 'denied'}>['reason'],
): interfaces.OwnerPermission {
  return {kind: 'denied', reason};
}
