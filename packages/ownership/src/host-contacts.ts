import type * as protocol from '@camphorwharf/protocol';
import * as views from './views.js';

/** What the latest answers of one host said. */
export interface HostContact {
  readonly identity: protocol.MemberIdentity;
  readonly adopted: protocol.View | null;
  readonly historyLength: number;
  readonly leaving: boolean;
  /** Latest sending time of an answered ping, at this adopted view. */
  readonly countsFromMs: number;
  /** Latest sending time of any answered ping. */
  readonly reachedMs: number;
  /** When this incarnation was first heard. */
  readonly firstHeardMs: number;
  /** When it was last heard. */
  readonly heardMs: number;
}

/** The contacts of one member with the other hosts of its cell. */
export class HostContacts {
  private readonly contacts = new Map<string, HostContact>();

  get(hostId: string): HostContact | undefined {
    return this.contacts.get(hostId);
  }

  all(): IterableIterator<HostContact> {
    return this.contacts.values();
  }

  /**
   * Takes an answer and returns whether it may be used. An answer of another
   * incarnation than the known one is used only when its ping was sent after
   * the known one was last heard; otherwise either may be the older process.
   */
  record(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): boolean {
    const known = this.contacts.get(answer.from.hostId);
    if (!known || !views.sameMember(known.identity, answer.from)) {
      if (known && pingSentMs <= known.heardMs) return false;
      this.contacts.set(
        answer.from.hostId,
        contactOf(answer, pingSentMs, nowMs, nowMs),
      );
      return true;
    }
    // A reordered answer with a lower view says nothing about the present.
    if (views.isHigher(known.adopted, answer.adopted)) return true;
    const fresh = contactOf(answer, pingSentMs, known.firstHeardMs, nowMs);
    this.contacts.set(answer.from.hostId, {
      ...fresh,
      leaving: known.leaving || answer.leaving,
      countsFromMs: views.sameView(known.adopted, answer.adopted)
        ? Math.max(known.countsFromMs, pingSentMs)
        : pingSentMs,
      reachedMs: Math.max(known.reachedMs, pingSentMs),
    });
    return true;
  }

  /** Only a member that leaves proposes a view without itself (V9). */
  noteProposer(view: protocol.View): void {
    for (const [hostId, contact] of this.contacts) {
      if (views.memberKey(contact.identity) !== view.identity.proposer) {
        continue;
      }
      if (views.includes(view, contact.identity)) continue;
      this.contacts.set(hostId, {...contact, leaving: true});
    }
  }

  /** Forgets hosts that are neither listed nor in a known view. */
  keepOnly(hostIds: ReadonlySet<string>): void {
    for (const hostId of this.contacts.keys()) {
      if (!hostIds.has(hostId)) this.contacts.delete(hostId);
    }
  }
}

function contactOf(
  answer: protocol.ViewAnswer,
  pingSentMs: number,
  firstHeardMs: number,
  nowMs: number,
): HostContact {
  return {
    identity: answer.from,
    adopted: answer.adopted,
    historyLength: answer.history.length,
    leaving: answer.leaving,
    countsFromMs: pingSentMs,
    reachedMs: pingSentMs,
    firstHeardMs,
    heardMs: nowMs,
  };
}
