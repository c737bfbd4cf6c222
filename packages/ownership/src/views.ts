import type * as protocol from '@camphorwharf/protocol';

/** Orders views by number, then by proposer. */
export function compareViews(
  left: protocol.ViewIdentity,
  right: protocol.ViewIdentity,
): number {
  if (left.number !== right.number) return left.number - right.number;
  if (left.proposer === right.proposer) return 0;
  return left.proposer < right.proposer ? -1 : 1;
}

export function isHigher(
  view: protocol.View | null,
  other: protocol.View | null,
): boolean {
  if (!view) return false;
  return !other || compareViews(view.identity, other.identity) > 0;
}

export function isSameView(
  left: protocol.View | null,
  right: protocol.View | null,
): boolean {
  if (!left || !right) return left === right;
  return compareViews(left.identity, right.identity) === 0;
}

export function isSameMember(
  left: protocol.MemberIdentity,
  right: protocol.MemberIdentity,
): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation;
}

export function hasMember(
  view: protocol.View,
  member: protocol.MemberIdentity,
): boolean {
  return view.members.some(other => isSameMember(other, member));
}

export function viewKey(identity: protocol.ViewIdentity): string {
  return `${identity.number}:${identity.proposer}`;
}

export function memberKey(member: protocol.MemberIdentity): string {
  return `${member.hostId}/${member.incarnation}`;
}

/** Smallest number that is more than half of `count`. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
