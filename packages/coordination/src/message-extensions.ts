import type * as protocol from '@camphorwharf/protocol';

/**
 * Optional fields of control messages. Receivers without support for them
 * ignore them, as they ignore all unknown fields (design section 6).
 */

/** A view ping that may omit a view that the receiver already has. */
export interface CompactViewPing extends protocol.ViewPing {
  /** Digest of the last answer that the sender got from the receiver. */
  readonly answerDigest?: string;
  /** Set when the view equals the adopted one of that answer; `view` is null. */
  readonly sameView?: boolean;
}

/** A view answer that may omit what the pinging member already has. */
export interface CompactViewAnswer extends protocol.ViewAnswer {
  /** Set when view and history equal those identified by `answerDigest`. */
  readonly unchanged?: boolean;
  /** Set when `answerDigest` is outdated, so the ping needs the full view. */
  readonly needsView?: boolean;
}

/** A `notOwner` answer that names the owner if the sender knows it. */
export interface NotOwnerWithHint extends protocol.NotOwner {
  readonly ownerHostId?: string;
}

/** A hand-over of key records that may list shards with complete records. */
export interface KeyHandOverWithShards extends protocol.KeyHandOver {
  /**
   * Key shards of the sender whose records are all in this message. Other keys
   * of these shards in the covered period were never claimed.
   */
  readonly shards?: readonly string[];
}

/** Host list fields that accompany a configuration digest or answer. */
export interface HostListOffer {
  readonly hostListRevision?: number;
  /** A newer host list as compressed JSON. */
  readonly hostList?: Uint8Array;
  /** A compressed `HostListDelta`, sent instead of `hostList`. */
  readonly hostListDelta?: Uint8Array;
}

export interface ConfigurationDigestWithHosts
  extends protocol.ConfigurationDigest, HostListOffer {
  /** Requests the full state because the sender could not apply a delta. */
  readonly wantsWhole?: boolean;
}

export interface ConfigurationAnswerWithHosts
  extends protocol.ConfigurationAnswer, HostListOffer {
  /** Replaces `document` above the compression threshold. */
  readonly compressedDocument?: Uint8Array;
  /** A compressed `DocumentDelta`, sent instead of `compressedDocument`. */
  readonly documentDelta?: Uint8Array;
}
