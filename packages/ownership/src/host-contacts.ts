import type * as protocol from '@camphorwharf/protocol';
import * as views from './views.js';

/** The state of one host according to its latest answers. */
export interface HostContact {
  readonly identity: protocol.MemberIdentity;
  readonly adopted: protocol.View | null;
  readonly historyLength: number;
  readonly leaving: boolean;
  /** Latest send time of a ping answered with this adopted view. */
  readonly countsFromMs: number;
  /** Latest send time of any answered ping. */
  readonly reachedMs: number;
  /** When the first answer of this incarnation arrived. */
  readonly firstContactMs: number;
  /** When its latest answer arrived. */
  readonly lastContactMs: number;
}

/** One member's contacts with the other hosts of its cell. */
export class HostContacts {
  private readonly contacts = new Map<string, HostContact>();

  get(hostId: string): HostContact | undefined {
    return this.contacts.get(hostId);
  }

  all(): IterableIterator<HostContact> {
    return this.contacts.values();
  }

  /**
   * Records an answer and returns whether it may be used. An answer from a
   * different incarnation is used only if its ping was sent after the latest
   * answer of the known incarnation arrived; otherwise it is not clear which
   * of the two processes is older.
   */
  record(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): boolean {
    const existing = this.contacts.get(answer.from.hostId);
    if (!existing || !views.isSameMember(existing.identity, answer.from)) {
      if (existing && pingSentMs <= existing.lastContactMs) return false;
      this.contacts.set(
        answer.from.hostId,
        createContact(answer, pingSentMs, nowMs, nowMs),
      );
      return true;
    }
    // An answer with a lower view arrived out of order and is outdated.
    if (views.isHigher(existing.adopted, answer.adopted)) return true;
    const updated = createContact(
      answer,
      pingSentMs,
      existing.firstContactMs,
      nowMs,
    );
    this.contacts.set(answer.from.hostId, {
      ...updated,
      leaving: existing.leaving || answer.leaving,
      countsFromMs: views.isSameView(existing.adopted, answer.adopted)
        ? Math.max(existing.countsFromMs, pingSentMs)
        : pingSentMs,
      reachedMs: Math.max(existing.reachedMs, pingSentMs),
    });
    return true;
  }

  /** Marks a proposer outside its own view as leaving (rule V9). */
  markLeavingProposer(view: protocol.View): void {
    for (const [hostId, contact] of this.contacts) {
      if (views.memberKey(contact.identity) !== view.identity.proposer) {
        continue;
      }
      if (views.hasMember(view, contact.identity)) continue;
      this.contacts.set(hostId, {...contact, leaving: true});
    }
  }

  /** Removes the contacts of all other hosts. */
  retainHosts(hostIds: ReadonlySet<string>): void {
    for (const hostId of this.contacts.keys()) {
      if (!hostIds.has(hostId)) this.contacts.delete(hostId);
    }
  }
}

function createContact(
  answer: protocol.ViewAnswer,
  pingSentMs: number,
  firstContactMs: number,
  nowMs: number,
): HostContact {
  return {
    identity: answer.from,
    adopted: answer.adopted,
    historyLength: answer.history.length,
    leaving: answer.leaving,
    countsFromMs: pingSentMs,
    reachedMs: pingSentMs,
    firstContactMs,
    lastContactMs: nowMs,
  };
}
