import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as hostContacts from './host-contacts.js';
import type * as viewHistory from './view-history.js';
import * as views from './views.js';

/** What a member needs to judge majorities. */
export interface Contacted {
  readonly self: protocol.MemberIdentity;
  readonly contacts: hostContacts.HostContacts;
  readonly leaseMs: number;
}

/** When the answers of a majority at exactly `view` cease to count (V2). */
export function contactUntilMs(
  {self, contacts, leaseMs}: Contacted,
  view: protocol.View,
  nowMs: number,
): number {
  const ends: number[] = [];
  for (const member of view.members) {
    if (views.sameMember(member, self)) {
      ends.push(nowMs + leaseMs);
      continue;
    }
    const contact = contacts.get(member.hostId);
    if (!contact || !views.sameMember(contact.identity, member)) continue;
    if (!views.sameView(contact.adopted, view)) continue;
    ends.push(contact.countsFromMs + leaseMs);
  }
  ends.sort((left, right) => right - left);
  return ends[views.majorityOf(view.members.length) - 1] ?? -Infinity;
}

/**
 * Whether a majority of `hostIds` has answered a ping that carried `view`,
 * adopted at `adoptedMs`, so that none of these hosts can take part in an
 * older view, or start another first view, without naming this one.
 */
export function isBound(
  {self, contacts, leaseMs}: Contacted,
  hostIds: readonly string[],
  view: protocol.View,
  adoptedMs: number,
  nowMs: number,
): boolean {
  const bound = hostIds.filter(hostId => {
    if (hostId === self.hostId) return true;
    const contact = contacts.get(hostId);
    if (!contact || contact.reachedMs <= adoptedMs) return false;
    if (contact.reachedMs + leaseMs <= nowMs) return false;
    if (contact.adopted) return !views.isHigher(view, contact.adopted);
    // A full history cannot have taken the view up.
    return contact.historyLength < constants.VIEW_HISTORY_LIMIT;
  });
  return bound.length >= views.majorityOf(hostIds.length);
}

/**
 * Returns the processes that can start a first view (V7), or null when it is
 * too early: a majority of the listed hosts, and of the hosts of each view
 * that is only known by name, must have been heard without a view, each for
 * at least the fence, since an earlier process of the host may have given a
 * contact lease to an owner.
 */
export function startableMembers(
  {self, contacts, leaseMs}: Contacted,
  listed: readonly string[],
  history: viewHistory.ViewHistory,
  fenceMs: number,
  nowMs: number,
): protocol.MemberIdentity[] | null {
  const heard = [self];
  for (const contact of contacts.all()) {
    if (contact.reachedMs + leaseMs <= nowMs) continue;
    if (contact.adopted) return null;
    if (contact.leaving || nowMs - contact.firstHeardMs < fenceMs) continue;
    if (listed.includes(contact.identity.hostId)) heard.push(contact.identity);
  }
  const hostIds = new Set(heard.map(member => member.hostId));
  const groups = history
    .list()
    .map(view => view.members.map(member => member.hostId));
  const isEnough = [listed, ...groups].every(
    hosts =>
      hosts.filter(hostId => hostIds.has(hostId)).length >=
      views.majorityOf(hosts.length),
  );
  if (!isEnough) return null;
  return heard.sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
}
