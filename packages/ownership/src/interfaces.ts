import type * as protocol from '@camphorwharf/protocol';

/** Whether a member may act as owner at an instant. */
export type OwnerPermission =
  | {
      readonly kind: 'granted';
      /** Monotonic instant at which the permission ends. */
      readonly untilMs: number;
      /** Monotonic instant since when this member has owned the shard. */
      readonly ownerSinceMs: number;
    }
  | {
      readonly kind: 'denied';
      readonly reason:
        'noView' | 'noContact' | 'fence' | 'otherOwner' | 'leaving';
    };

/** One member's part in agreeing on the view of a cell (rules V1 to V8). */
export interface CellMembership {
  readonly cell: string;
  readonly identity: protocol.MemberIdentity;
  /** The adopted view; null before the member has joined one. */
  readonly adopted: protocol.View | null;
  /** Takes the host ids that the platform lists for the cell. */
  setListedHosts(hostIds: readonly string[], nowMs: number): void;
  createPing(nowMs: number): protocol.ViewPing;
  answerPing(ping: protocol.ViewPing, nowMs: number): protocol.ViewAnswer;
  /** Takes an answer; it counts from the instant its ping was sent. */
  recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void;
  /** Adopts a new view of its own proposal when V6 or V7 call for one. */
  proposeIfNeeded(nowMs: number): void;
  /** The owner of a shard in the adopted view; null without a view. */
  ownerOf(shard: string): protocol.MemberIdentity | null;
  permission(shard: string, nowMs: number): OwnerPermission;
  /** Stops acting for good and proposes a view without this member (V8). */
  leave(nowMs: number): void;
}

/** Rate and burst of one organisation in this region. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** The buckets that a member owns. */
export interface BucketTable {
  grant(
    request: protocol.GrantRequest,
    limits: BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer;
  giveBack(request: protocol.GrantReturn, nowMs: number): void;
  /** Empties the buckets and returns their levels for the next owners. */
  takeForHandOver(nowMs: number): ReadonlyArray<{
    readonly organisation: string;
    readonly tokens: number;
  }>;
  receiveHandOver(organisation: string, tokens: number, nowMs: number): void;
  readonly size: number;
}

/** The prepaid tokens of one organisation at an entry daemon. */
export interface GrantHolder {
  /** Spends one token when a grant that has not ended holds one. */
  trySpend(nowMs: number): boolean;
  /** Reports demand that found no token, for sizing the next request. */
  noteUnmet(nowMs: number): void;
  /** The request to send now; null while enough is held or one is pending. */
  nextRequest(nowMs: number): protocol.GrantRequest | null;
  recordAnswer(
    answer: protocol.GrantAnswer,
    requestSentMs: number,
    nowMs: number,
  ): void;
  /** The pending request was lost; its tokens count as lost. */
  recordLoss(nowMs: number): void;
  /** What to return on a planned stop; null when nothing is held. */
  takeReturn(nowMs: number): protocol.GrantReturn | null;
  readonly held: number;
}

/** Idempotency records of the keys that a member owns. */
export interface KeyTable {
  claim(
    request: protocol.KeyClaim,
    ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): protocol.KeyAnswer;
  settle(request: protocol.KeySettle, nowMs: number): void;
  takeForHandOver(nowMs: number): Omit<protocol.KeyHandOver, 'kind' | 'cell'>;
  receiveHandOver(
    message: protocol.KeyHandOver,
    nowMs: number,
    nowWallMs: number,
  ): void;
  readonly size: number;
}

/** Calls that this target's daemon started or promised never to start. */
export interface StartedCalls {
  /** Must be asked immediately before a call is sent to the backend server. */
  start(
    requestId: string,
    attempt: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'start' | 'duplicate' | 'tombstoned' | 'tableFull';
  cancelIfNotStarted(
    requestId: string,
    attempt: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'neverStarts' | 'started';
  readonly size: number;
}
