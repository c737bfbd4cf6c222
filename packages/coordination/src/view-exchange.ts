import type * as protocol from '@camphorwharf/protocol';
import * as crypto from 'node:crypto';
import type * as extensions from './message-extensions.js';

/** Characters of a digest; 66 bits make collisions negligible. */
const DIGEST_LENGTH = 11;

/**
 * Stands for the sender, which the receiver knows from the connection. Sending
 * it cost 40 bytes in each of the 256 messages per second of a cell of 33.
 */
const CONNECTION_SENDER: protocol.MemberIdentity = {
  hostId: '',
  incarnation: '',
};

interface PeerMemory {
  incarnation: string;
  answer: protocol.ViewAnswer;
  answerDigest: string;
}

/**
 * Leaves unchanged views and histories out of view pings and answers. With
 * full views a member of a cell of 33 would send about 500 KB/s.
 */
export class ViewExchange {
  private readonly memories = new Map<string, PeerMemory>();

  /** Prepares a ping for a peer; `full` sends the view in any case. */
  compactPing(
    ping: protocol.ViewPing,
    peer: protocol.MemberIdentity,
    full: boolean,
  ): extensions.CompactViewPing {
    const memory = this.memoryOf(peer);
    const peerView = memory?.answer.adopted ?? null;
    const sameView =
      !full &&
      ping.view !== null &&
      peerView !== null &&
      viewDigest(ping.view) === viewDigest(peerView);
    return {
      ...ping,
      from: CONNECTION_SENDER,
      ...(sameView && {view: null, sameView}),
      ...(memory && {answerDigest: memory.answerDigest}),
    };
  }

  /**
   * Restores a ping; null when the sender has to send its view in full.
   *
   * @param recent the last answer of this member to any ping.
   */
  restorePing(
    ping: extensions.CompactViewPing,
    sender: protocol.MemberIdentity,
    recent: protocol.ViewAnswer | null,
  ): protocol.ViewPing | null {
    const {kind, cell, active} = ping;
    if (!ping.sameView) {
      return {kind, cell, from: sender, view: ping.view, active};
    }
    if (!recent || ping.answerDigest !== answerDigest(recent)) return null;
    return {kind, cell, from: sender, view: recent.adopted, active};
  }

  /** Prepares an answer to a ping. */
  compactAnswer(
    answer: protocol.ViewAnswer,
    ping: extensions.CompactViewPing,
    needsView: boolean,
  ): extensions.CompactViewAnswer {
    const extra = needsView ? {needsView} : {};
    if (ping.answerDigest !== answerDigest(answer)) {
      return {...answer, from: CONNECTION_SENDER, ...extra};
    }
    return {
      ...answer,
      from: CONNECTION_SENDER,
      adopted: null,
      history: [],
      unchanged: true,
      ...extra,
    };
  }

  /** Restores an answer; null when what it refers to is not held any more. */
  restoreAnswer(
    answer: extensions.CompactViewAnswer,
    sender: protocol.MemberIdentity,
  ): protocol.ViewAnswer | null {
    const {kind, active, leaving} = answer;
    if (answer.unchanged) {
      const memory = this.memoryOf(sender);
      if (!memory) return null;
      const {adopted, history} = memory.answer;
      return {kind, from: sender, adopted, history, active, leaving};
    }
    const {adopted, history} = answer;
    const whole = {kind, from: sender, adopted, history, active, leaving};
    this.memories.set(sender.hostId, {
      incarnation: sender.incarnation,
      answer: whole,
      answerDigest: answerDigest(whole),
    });
    return whole;
  }

  forget(hostId: string): void {
    this.memories.delete(hostId);
  }

  private memoryOf(peer: protocol.MemberIdentity): PeerMemory | undefined {
    const memory = this.memories.get(peer.hostId);
    return memory?.incarnation === peer.incarnation ? memory : undefined;
  }
}

/** Views are immutable, so each is digested once. */
const viewDigests = new WeakMap<protocol.View, string>();

function viewDigest(view: protocol.View): string {
  let text = viewDigests.get(view);
  if (text === undefined) {
    text = digest([
      view.identity.number,
      view.identity.proposer,
      view.members.map(({hostId, incarnation}) => [hostId, incarnation]),
    ]);
    viewDigests.set(view, text);
  }
  return text;
}

function digest(value: unknown): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify(value))
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}

/** Covers what a short answer leaves out. */
function answerDigest(answer: protocol.ViewAnswer): string {
  return digest([
    answer.adopted && viewDigest(answer.adopted),
    answer.history.map(viewDigest),
  ]);
}
