import type * as protocol from '@camphorwharf/protocol';
import * as crypto from 'node:crypto';
import type * as extensions from './message-extensions.js';

/** Base64 characters of a digest; 66 bits make collisions negligible. */
const DIGEST_LENGTH = 11;

/**
 * Placeholder for the sender, which the receiver knows from the connection.
 * Sending the identity cost 40 bytes in each of the 256 messages per second of
 * a cell of 33.
 */
const IMPLICIT_SENDER: protocol.MemberIdentity = {
  hostId: '',
  incarnation: '',
};

/** The last full answer of a peer, to which compact messages refer. */
interface CachedAnswer {
  incarnation: string;
  answer: protocol.ViewAnswer;
  answerDigest: string;
}

/**
 * Compresses view pings and answers by omitting unchanged views and histories.
 * With full views, a member of a cell of 33 would send about 500 KB/s.
 */
export class ViewPingCodec {
  private readonly cachedAnswers = new Map<string, CachedAnswer>();

  /** Encodes a ping for a peer; `full` includes the view in any case. */
  compactPing(
    ping: protocol.ViewPing,
    peer: protocol.MemberIdentity,
    full: boolean,
  ): extensions.CompactViewPing {
    const cached = this.cachedAnswerOf(peer);
    const peerView = cached?.answer.adopted ?? null;
    const sameView =
      !full &&
      ping.view !== null &&
      peerView !== null &&
      viewDigest(ping.view) === viewDigest(peerView);
    return {
      ...ping,
      from: IMPLICIT_SENDER,
      ...(sameView && {view: null, sameView}),
      ...(cached && {answerDigest: cached.answerDigest}),
    };
  }

  /**
   * Decodes a ping. Returns null when the sender must resend its full view.
   *
   * @param latest the last answer of this member to any ping.
   */
  restorePing(
    ping: extensions.CompactViewPing,
    sender: protocol.MemberIdentity,
    latest: protocol.ViewAnswer | null,
  ): protocol.ViewPing | null {
    const {kind, cell, active} = ping;
    if (!ping.sameView) {
      return {kind, cell, from: sender, view: ping.view, active};
    }
    if (!latest || ping.answerDigest !== answerDigest(latest)) return null;
    return {kind, cell, from: sender, view: latest.adopted, active};
  }

  /** Encodes an answer; omits what the sender of the ping already has. */
  compactAnswer(
    answer: protocol.ViewAnswer,
    ping: extensions.CompactViewPing,
    needsView: boolean,
  ): extensions.CompactViewAnswer {
    const extra = needsView ? {needsView} : {};
    if (ping.answerDigest !== answerDigest(answer)) {
      return {...answer, from: IMPLICIT_SENDER, ...extra};
    }
    return {
      ...answer,
      from: IMPLICIT_SENDER,
      adopted: null,
      history: [],
      unchanged: true,
      ...extra,
    };
  }

  /** Decodes an answer. Returns null when the one it refers to is not cached. */
  restoreAnswer(
    answer: extensions.CompactViewAnswer,
    sender: protocol.MemberIdentity,
  ): protocol.ViewAnswer | null {
    const {kind, active, leaving} = answer;
    if (answer.unchanged) {
      const cached = this.cachedAnswerOf(sender);
      if (!cached) return null;
      const {adopted, history} = cached.answer;
      return {kind, from: sender, adopted, history, active, leaving};
    }
    const {adopted, history} = answer;
    const fullAnswer = {kind, from: sender, adopted, history, active, leaving};
    this.cachedAnswers.set(sender.hostId, {
      incarnation: sender.incarnation,
      answer: fullAnswer,
      answerDigest: answerDigest(fullAnswer),
    });
    return fullAnswer;
  }

  removePeer(hostId: string): void {
    this.cachedAnswers.delete(hostId);
  }

  private cachedAnswerOf(
    peer: protocol.MemberIdentity,
  ): CachedAnswer | undefined {
    const cached = this.cachedAnswers.get(peer.hostId);
    return cached?.incarnation === peer.incarnation ? cached : undefined;
  }
}

/** Digests by view. Views are immutable, so each is hashed only once. */
const viewDigests = new WeakMap<protocol.View, string>();

function viewDigest(view: protocol.View): string {
  let text = viewDigests.get(view);
  if (text === undefined) {
    text = shortDigest([
      view.identity.number,
      view.identity.proposer,
      view.members.map(({hostId, incarnation}) => [hostId, incarnation]),
    ]);
    viewDigests.set(view, text);
  }
  return text;
}

function shortDigest(value: unknown): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify(value))
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}

/** Covers the fields that a compact answer omits. */
function answerDigest(answer: protocol.ViewAnswer): string {
  return shortDigest([
    answer.adopted && viewDigest(answer.adopted),
    answer.history.map(viewDigest),
  ]);
}
