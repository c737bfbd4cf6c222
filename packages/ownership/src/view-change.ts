import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as hostContacts from './host-contacts.js';
import * as views from './views.js';

/** The state on which the proposal of a new view depends (rule V6). */
export interface ViewChangeContext {
  readonly self: protocol.MemberIdentity;
  readonly adopted: protocol.View;
  /** Host ids listed for the cell; empty until a list has been read. */
  readonly listedHostIds: readonly string[];
  readonly contacts: hostContacts.HostContacts;
  /** A host is reachable if it answered a ping sent after this instant. */
  readonly reachableSinceMs: number;
  /** Whether unreachable members are kept, since contact has just begun. */
  readonly toleratesUnreached: boolean;
}

export interface ViewChange {
  readonly members: readonly protocol.MemberIdentity[];
}

/** Returns the contact of a host, or null when it is not reachable. */
function reachableContact(
  context: ViewChangeContext,
  hostId: string,
): hostContacts.HostContact | null {
  const contact = context.contacts.get(hostId);
  if (!contact || contact.reachedMs <= context.reachableSinceMs) return null;
  return contact;
}

/** Returns the reachable process of a host unless it is leaving. */
function candidateMember(
  context: ViewChangeContext,
  hostId: string,
): protocol.MemberIdentity | null {
  if (hostId === context.self.hostId) return context.self;
  const contact = reachableContact(context, hostId);
  return contact && !contact.leaving ? contact.identity : null;
}

/** Whether a majority of the hosts of the adopted view is reachable. */
export function reachesMajority(context: ViewChangeContext): boolean {
  const members = context.adopted.members;
  const count = members.filter(
    ({hostId}) =>
      hostId === context.self.hostId || reachableContact(context, hostId),
  ).length;
  return count >= views.majorityOf(members.length);
}

/**
 * Whether this member proposes without delay, because its host id is the
 * lowest of the reachable members. If no member is reachable, the lowest
 * reachable host with an adopted view proposes.
 */
export function isFirstProposer(context: ViewChangeContext): boolean {
  const members = context.adopted.members.filter(member => {
    const reachable = candidateMember(context, member.hostId);
    return reachable !== null && views.isSameMember(reachable, member);
  });
  let hostIds = members.map(member => member.hostId);
  if (hostIds.length === 0) {
    hostIds = [...context.contacts.all()]
      .filter(
        contact =>
          contact.adopted && reachableContact(context, contact.identity.hostId),
      )
      .map(contact => contact.identity.hostId);
    hostIds.push(context.self.hostId);
  }
  return hostIds.every(hostId => hostId >= context.self.hostId);
}

/** Returns the reachable members under their current incarnations. */
function reachableMembers(
  context: ViewChangeContext,
): protocol.MemberIdentity[] {
  return context.adopted.members
    .map(member => {
      const reachable = candidateMember(context, member.hostId);
      if (reachable || !context.toleratesUnreached) return reachable;
      const isLeaving = context.contacts.get(member.hostId)?.leaving;
      return isLeaving ? null : member;
    })
    .filter(member => member !== null);
}

/**
 * Returns the members that the first proposer proposes, or null if nothing
 * changes. Only the first proposer applies the host list, because members with
 * different lists would otherwise alternately add and remove the same host.
 */
export function firstProposerMembers(
  context: ViewChangeContext,
): readonly protocol.MemberIdentity[] | null {
  const listedHostIds = new Set(context.listedHostIds);
  const members = reachableMembers(context).filter(
    member => listedHostIds.size === 0 || listedHostIds.has(member.hostId),
  );
  for (const hostId of context.listedHostIds) {
    if (members.length >= constants.CELL_MEMBER_LIMIT) break;
    if (members.some(member => member.hostId === hostId)) continue;
    const joiningMember = candidateMember(context, hostId);
    if (joiningMember) members.push(joiningMember);
  }
  return changedMembers(context, members);
}

/**
 * Returns the members that other proposers propose after a delay: without
 * unreachable and leaving members, and with restarted members under their new
 * incarnation. Returns null if nothing changes.
 */
export function fallbackMembers(
  context: ViewChangeContext,
): readonly protocol.MemberIdentity[] | null {
  return changedMembers(context, reachableMembers(context));
}

/** Returns `members` sorted, or null if the adopted view has the same ones. */
function changedMembers(
  context: ViewChangeContext,
  members: protocol.MemberIdentity[],
): readonly protocol.MemberIdentity[] | null {
  const isUnchanged =
    members.length === context.adopted.members.length &&
    members.every(member => views.hasMember(context.adopted, member));
  if (isUnchanged || members.length === 0) return null;
  return members.sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
}
