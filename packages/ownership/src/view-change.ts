import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as hostContacts from './host-contacts.js';
import * as views from './views.js';

/** What a member knows when it considers a new view (V6). */
export interface Situation {
  readonly self: protocol.MemberIdentity;
  readonly adopted: protocol.View;
  /** Host ids listed for the cell; empty when no list has been read. */
  readonly listed: readonly string[];
  readonly contacts: hostContacts.HostContacts;
  /** Contacts whose ping was sent after this instant are reached. */
  readonly reachedAfterMs: number;
  /** Whether members that were not reached yet are not suspected. */
  readonly sparesSilent: boolean;
}

export interface ViewChange {
  readonly members: readonly protocol.MemberIdentity[];
}

/** Returns the contact of a host that answered recently and stays. */
function reached(
  situation: Situation,
  hostId: string,
): hostContacts.HostContact | null {
  const contact = situation.contacts.get(hostId);
  if (!contact || contact.reachedMs <= situation.reachedAfterMs) return null;
  return contact;
}

/** The running process of a host that can be a member; null without one. */
function candidate(
  situation: Situation,
  hostId: string,
): protocol.MemberIdentity | null {
  if (hostId === situation.self.hostId) return situation.self;
  const contact = reached(situation, hostId);
  return contact && !contact.leaving ? contact.identity : null;
}

/** Whether enough hosts of the adopted view answer to supersede it. */
export function reachesMajority(situation: Situation): boolean {
  const members = situation.adopted.members;
  const count = members.filter(
    ({hostId}) =>
      hostId === situation.self.hostId || reached(situation, hostId),
  ).length;
  return count >= views.majorityOf(members.length);
}

/**
 * Whether this member proposes without delay: it has the lowest host id of
 * the reached members. Without a reached member, the lowest host with a view
 * takes the part.
 */
export function proposesFirst(situation: Situation): boolean {
  const members = situation.adopted.members.filter(member => {
    const present = candidate(situation, member.hostId);
    return present !== null && views.sameMember(present, member);
  });
  let hostIds = members.map(member => member.hostId);
  if (hostIds.length === 0) {
    hostIds = [...situation.contacts.all()]
      .filter(
        contact =>
          contact.adopted && reached(situation, contact.identity.hostId),
      )
      .map(contact => contact.identity.hostId);
    hostIds.push(situation.self.hostId);
  }
  return hostIds.every(hostId => hostId >= situation.self.hostId);
}

/** Keeps members that are present, under their present incarnation. */
function presentMembers(situation: Situation): protocol.MemberIdentity[] {
  return situation.adopted.members
    .map(member => {
      const present = candidate(situation, member.hostId);
      if (present || !situation.sparesSilent) return present;
      const isLeaving = situation.contacts.get(member.hostId)?.leaving;
      return isLeaving ? null : member;
    })
    .filter(member => member !== null);
}

/**
 * Returns the members that the first proposer wants; null without a change.
 * Only this member follows the list, because members with different lists
 * would otherwise add and remove the same host in turn.
 */
export function wantedMembers(
  situation: Situation,
): readonly protocol.MemberIdentity[] | null {
  const listed = new Set(situation.listed);
  const members = presentMembers(situation).filter(
    member => listed.size === 0 || listed.has(member.hostId),
  );
  for (const hostId of situation.listed) {
    if (members.length >= constants.CELL_MEMBER_LIMIT) break;
    if (members.some(member => member.hostId === hostId)) continue;
    const joining = candidate(situation, hostId);
    if (joining) members.push(joining);
  }
  return differing(situation, members);
}

/**
 * Returns the members that others propose after a delay: without those that
 * are lost or leaving, and with restarted ones under their new incarnation.
 */
export function fallbackMembers(
  situation: Situation,
): readonly protocol.MemberIdentity[] | null {
  return differing(situation, presentMembers(situation));
}

function differing(
  situation: Situation,
  members: protocol.MemberIdentity[],
): readonly protocol.MemberIdentity[] | null {
  const unchanged =
    members.length === situation.adopted.members.length &&
    members.every(member => views.includes(situation.adopted, member));
  if (unchanged || members.length === 0) return null;
  return members.sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
}
