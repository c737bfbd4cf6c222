import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import type * as hostContacts from './host-contacts.js';
import type * as viewHistory from './view-history.js';
import * as views from './views.js';

/** The state that quorum decisions of a member depend on. */
export interface QuorumContext {
  readonly self: protocol.MemberIdentity;
  readonly contacts: hostContacts.HostContacts;
  readonly leaseMs: number;
}

/** When the contact leases of a majority under `view` end (rule V2). */
export function contactUntilMs(
  {self, contacts, leaseMs}: QuorumContext,
  view: protocol.View,
  nowMs: number,
): number {
  const leaseEndsMs: number[] = [];
  for (const member of view.members) {
    if (views.isSameMember(member, self)) {
      leaseEndsMs.push(nowMs + leaseMs);
      continue;
    }
    const contact = contacts.get(member.hostId);
    if (!contact || !views.isSameMember(contact.identity, member)) continue;
    if (!views.isSameView(contact.adopted, view)) continue;
    leaseEndsMs.push(contact.countsFromMs + leaseMs);
  }
  leaseEndsMs.sort((left, right) => right - left);
  return leaseEndsMs[views.majorityOf(view.members.length) - 1] ?? -Infinity;
}

/**
 * Whether a majority of `hostIds` has answered a ping that carried `view`,
 * which was adopted at `adoptedMs`. None of these hosts can then join an older
 * view or propose another first view without naming this one.
 */
export function isKnownTo(
  {self, contacts, leaseMs}: QuorumContext,
  hostIds: readonly string[],
  view: protocol.View,
  adoptedMs: number,
  nowMs: number,
): boolean {
  const informed = hostIds.filter(hostId => {
    if (hostId === self.hostId) return true;
    const contact = contacts.get(hostId);
    if (!contact || contact.reachedMs <= adoptedMs) return false;
    if (contact.reachedMs + leaseMs <= nowMs) return false;
    if (contact.adopted) return !views.isHigher(view, contact.adopted);
    // A host with a full history cannot have added the view.
    return contact.historyLength < constants.VIEW_HISTORY_LIMIT;
  });
  return informed.length >= views.majorityOf(hostIds.length);
}

/**
 * Returns the processes that can form the first view (rule V7), or null while
 * that is not safe. A majority of the listed hosts, and of the hosts of each
 * view known from messages, must have been in contact without a view for the
 * whole takeover fence, because an earlier process of a host may have given a
 * contact lease to an owner.
 */
export function bootstrapMembers(
  {self, contacts, leaseMs}: QuorumContext,
  listed: readonly string[],
  history: viewHistory.ViewHistory,
  fenceMs: number,
  nowMs: number,
): protocol.MemberIdentity[] | null {
  const ready = [self];
  for (const contact of contacts.all()) {
    if (contact.reachedMs + leaseMs <= nowMs) continue;
    if (contact.adopted) return null;
    if (contact.leaving || nowMs - contact.firstContactMs < fenceMs) continue;
    if (listed.includes(contact.identity.hostId)) ready.push(contact.identity);
  }
  const readyHostIds = new Set(ready.map(member => member.hostId));
  const requiredHosts = history
    .list()
    .map(view => view.members.map(member => member.hostId));
  const hasMajorities = [listed, ...requiredHosts].every(
    group =>
      group.filter(hostId => readyHostIds.has(hostId)).length >=
      views.majorityOf(group.length),
  );
  if (!hasMajorities) return null;
  return ready.sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
}
