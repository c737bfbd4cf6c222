import type * as protocol from '@camphorwharf/protocol';

/**
 * Optional fields of control messages. Receivers that do not know them ignore
 * them, because unknown fields are ignored (design section 6).
 */

/** A view ping that may leave out what the receiver already holds. */
export interface CompactViewPing extends protocol.ViewPing {
  /** Digest of the last answer that the sender received from the receiver. */
  readonly answerDigest?: string;
  /** The sender's view is the adopted one of that answer; `view` is null. */
  readonly sameView?: boolean;
}

export interface CompactViewAnswer extends protocol.ViewAnswer {
  /** Set when the answer equals the one named by `answerDigest`. */
  readonly unchanged?: boolean;
  /** Set when the answer named by `answerDigest` is out of date. */
  readonly needsView?: boolean;
}

/** A refusal to act as owner that names the owner, as far as it is known. */
export interface NotOwnerWithHint extends protocol.NotOwner {
  readonly ownerHostId?: string;
}

export interface KeyHandOverWithShards extends protocol.KeyHandOver {
  /**
   * Key shards that the sender owned and whose records are all in this
   * message, so that other keys which it covered were never claimed.
   */
  readonly shards?: readonly string[];
}

/** What a daemon says about its host list along with its document. */
export interface HostListOffer {
  readonly hostListRevision?: number;
  /** A newer list, compressed; see `compression`. */
  readonly hostList?: Uint8Array;
  /** A compressed `HostListDelta`, in place of `hostList`. */
  readonly hostListDelta?: Uint8Array;
}

export interface ConfigurationDigestWithHosts
  extends protocol.ConfigurationDigest, HostListOffer {
  /** The sender could not apply a delta. */
  readonly wantsWhole?: boolean;
}

export interface ConfigurationAnswerWithHosts
  extends protocol.ConfigurationAnswer, HostListOffer {
  /** Takes the place of `document` when that is large. */
  readonly compressedDocument?: Uint8Array;
  /** A compressed `DocumentDelta`, in place of `compressedDocument`. */
  readonly documentDelta?: Uint8Array;
}
