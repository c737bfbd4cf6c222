import type * as protocol from '@camphorwharf/protocol';

/** Whether a member may act as the owner of a shard at an instant. */
export type OwnerPermission =
  | {
      readonly kind: 'granted';
      /** Monotonic instant at which the permission ends. */
      readonly untilMs: number;
      /** Monotonic instant since which this member has owned the shard. */
      readonly ownerSinceMs: number;
    }
  | {
      readonly kind: 'denied';
      readonly reason:
        'noView' | 'noContact' | 'fence' | 'otherOwner' | 'leaving';
    };

/** The view agreement protocol of one cell member (rules V1 to V8). */
export interface CellMembership {
  readonly cell: string;
  readonly identity: protocol.MemberIdentity;
  /** The adopted view; null before the member has joined one. */
  readonly adopted: protocol.View | null;
  /** Sets the host ids that the platform lists for the cell. */
  setListedHosts(hostIds: readonly string[], nowMs: number): void;
  createPing(nowMs: number): protocol.ViewPing;
  answerPing(ping: protocol.ViewPing, nowMs: number): protocol.ViewAnswer;
  /** Processes an answer; its contact lease starts when its ping was sent. */
  recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void;
  /** Proposes and adopts a new view when rule V6 or V7 requires one. */
  proposeIfNeeded(nowMs: number): void;
  /** The owner of a shard in the adopted view; null without a view. */
  ownerOf(shard: string): protocol.MemberIdentity | null;
  permission(shard: string, nowMs: number): OwnerPermission;
  /** Permanently gives up ownership; proposes a view without itself (V8). */
  leave(nowMs: number): void;
}

/** Rate and burst of one organisation in this region. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** The token buckets owned by a member. */
export interface BucketTable {
  grant(
    request: protocol.GrantRequest,
    limits: BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer;
  returnTokens(request: protocol.GrantReturn, nowMs: number): void;
  /** Drains the buckets and returns their levels for the next owners. */
  drainForHandOver(nowMs: number): ReadonlyArray<{
    readonly organisation: string;
    readonly tokens: number;
  }>;
  receiveHandOver(organisation: string, tokens: number, nowMs: number): void;
  readonly size: number;
}

/** The prepaid tokens of one organisation at an entry daemon. */
export interface GrantHolder {
  /** Spends one token if an unexpired grant holds one. */
  trySpend(nowMs: number): boolean;
  /** Records demand that found no token, to size the next request. */
  recordUnmetDemand(nowMs: number): void;
  /** Returns the request to send now; null if none is due or one is pending. */
  nextRequest(nowMs: number): protocol.GrantRequest | null;
  recordAnswer(
    answer: protocol.GrantAnswer,
    requestSentMs: number,
    nowMs: number,
  ): void;
  /** Records that the pending request, with any tokens granted, was lost. */
  recordLostRequest(nowMs: number): void;
  /** Returns the last report of a graceful shutdown; null if it is empty. */
  returnUnspentTokens(nowMs: number): protocol.GrantReturn | null;
  readonly heldTokens: number;
}

/** Idempotency records of the keys owned by a member. */
export interface KeyTable {
  claim(
    request: protocol.KeyClaim,
    ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): protocol.KeyAnswer;
  settle(request: protocol.KeySettle, nowMs: number): void;
  drainForHandOver(nowMs: number): Omit<protocol.KeyHandOver, 'kind' | 'cell'>;
  receiveHandOver(
    message: protocol.KeyHandOver,
    nowMs: number,
    nowWallMs: number,
  ): void;
  readonly size: number;
}

/** A call that its sender asks the target never to start. */
export type CancelledCall = Pick<
  protocol.CancelIfNotStarted,
  'requestId' | 'attempt' | 'sentAfterMs'
>;

/** Calls that a target's daemon has started or promised never to start. */
export interface StartedCalls {
  /**
   * Must be called immediately before a call is sent to the backend server.
   * `acceptedMs`: when its permission was checked.
   */
  start(
    requestId: string,
    attempt: number,
    acceptedMs: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'start' | 'duplicate' | 'tombstoned' | 'tableFull';
  /**
   * Returns `neverStarts` only if a started call would still be recorded:
   * `sentAfterMs` is a reading of this process's clock before the call was
   * sent, so the call was recorded after it.
   */
  cancelIfNotStarted(
    call: CancelledCall,
    nowMs: number,
  ): 'neverStarts' | 'started' | 'unknown';
  readonly size: number;
}
