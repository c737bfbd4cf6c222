import type * as protocol from '@camphorwharf/protocol';

/**
 * Optional fields of control messages. Receivers that do not know them ignore
 * them, because unknown fields are ignored (design section 6).
 */

/** A view ping that may leave out what the receiver already holds. */
export interface CompactViewPing extends protocol.ViewPing {
  /** Digest of the sender's view; `view` is null when it is present. */
  readonly viewDigest?: string;
  /** Digest of the last answer that the sender received from the receiver. */
  readonly answerDigest?: string;
}

export interface CompactViewAnswer extends protocol.ViewAnswer {
  /** Set when the answer equals the one named by `answerDigest`. */
  readonly unchanged?: boolean;
  /** Set when the receiver does not hold the view of `viewDigest`. */
  readonly needsView?: boolean;
}

/** A refusal to act as owner that names the owner, as far as it is known. */
export interface NotOwnerWithHint extends protocol.NotOwner {
  readonly ownerHostId?: string;
}

/** What a daemon says about its host list along with its document. */
export interface HostListOffer {
  readonly hostListRevision?: number;
  /** Present when the answering daemon has a newer list; see `compression`. */
  readonly hostList?: Uint8Array;
}

export interface ConfigurationDigestWithHosts
  extends protocol.ConfigurationDigest, HostListOffer {}

export interface ConfigurationAnswerWithHosts
  extends protocol.ConfigurationAnswer, HostListOffer {
  /** Takes the place of `document` when that is large. */
  readonly compressedDocument?: Uint8Array;
}
