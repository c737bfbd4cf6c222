/** A process: its host and the random number drawn when it started. */
export interface MemberIdentity {
  readonly hostId: string;
  readonly incarnation: string;
}

/** Views are ordered by number, then by proposer. */
export interface ViewIdentity {
  readonly number: number;
  readonly proposer: string;
}

/** The members of a cell that may own its buckets and keys together. */
export interface View {
  readonly identity: ViewIdentity;
  readonly members: readonly MemberIdentity[];
}

export interface ViewPing {
  readonly kind: 'viewPing';
  readonly cell: string;
  readonly from: MemberIdentity;
  /** The highest view that the sender knows; null before it has one. */
  readonly view: View | null;
  /** Whether the sender acts under `view` at this time (rule V5). */
  readonly active: boolean;
}
export interface ViewAnswer {
  readonly kind: 'viewAnswer';
  readonly from: MemberIdentity;
  readonly adopted: View | null;
  /** Adopted views not yet known to be superseded by an active one. */
  readonly history: readonly View[];
  readonly active: boolean;
  readonly leaving: boolean;
}

export interface GrantRequest {
  readonly kind: 'grant';
  readonly organisation: string;
  readonly holder: MemberIdentity;
  /** Tokens wanted. */
  readonly tokens: number;
  /** Tokens of earlier grants spent since the last report. */
  readonly spent: number;
  /** Increases with each request of a holder; repeats are not granted twice. */
  readonly sequence: number;
}
export interface GrantAnswer {
  readonly kind: 'grantAnswer';
  readonly tokens: number;
  /** Time until the bucket can give a token, 0 when it gave some. */
  readonly retryAfterMs: number;
  /** Set while a new owner's bucket may not be filled yet. */
  readonly unfilled?: boolean;
}
export interface GrantReturn {
  readonly kind: 'grantReturn';
  readonly organisation: string;
  readonly holder: MemberIdentity;
  readonly spent: number;
  readonly unspent: number;
  readonly sequence: number;
}
export interface BucketHandOver {
  readonly kind: 'bucketHandOver';
  readonly cell: string;
  readonly buckets: ReadonlyArray<{
    readonly organisation: string;
    readonly tokens: number;
  }>;
}

export interface KeyClaim {
  readonly kind: 'keyClaim';
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly payloadDigest: string;
  readonly requestId: string;
}
export interface KeyAnswer {
  readonly kind: 'keyAnswer';
  readonly verdict:
    | {readonly kind: 'claimed'}
    | {readonly kind: 'inProgress'}
    | {readonly kind: 'completed'; readonly status: number}
    | {readonly kind: 'payloadDiffers'}
    | {readonly kind: 'olderThanOwner'}
    | {readonly kind: 'invalid'}
    | {readonly kind: 'tableFull'};
}
export interface KeySettle {
  readonly kind: 'keySettle';
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly requestId: string;
  readonly result:
    | {readonly kind: 'completed'; readonly status: number}
    | {readonly kind: 'notRun'}
    | {readonly kind: 'unknown'};
}
export interface KeyHandOver {
  readonly kind: 'keyHandOver';
  readonly cell: string;
  /** Keys created before this wall-clock instant are not covered. */
  readonly coveredSinceMs: number;
  readonly records: ReadonlyArray<{
    readonly organisation: string;
    readonly idempotencyKey: string;
    readonly payloadDigest: string;
    readonly requestId: string;
    readonly status: number | null;
  }>;
}

export interface CancelIfNotStarted {
  readonly kind: 'cancelIfNotStarted';
  readonly requestId: string;
  readonly attempt: number;
  /** The incarnation that the call was sent to. */
  readonly incarnation: string;
}
export interface CancelAnswer {
  readonly kind: 'cancelAnswer';
  readonly verdict: 'neverStarts' | 'started' | 'otherIncarnation';
}

export interface ConfigurationDigest {
  readonly kind: 'configurationDigest';
  readonly revision: number;
  readonly digest: string;
}
export interface ConfigurationPush {
  readonly kind: 'configurationPush';
  readonly revision: number;
  /** The published document, JSON text as the platform publishes it. */
  readonly document: string;
}
export interface ConfigurationAnswer {
  readonly kind: 'configurationAnswer';
  readonly revision: number;
  readonly digest: string;
  /** Present when the answering daemon has a newer document. */
  readonly document: string | null;
}
export interface Leaving {
  readonly kind: 'leaving';
  readonly hostId: string;
  /** Set when the host stays after all. */
  readonly withdrawn?: boolean;
}
export interface StatusQuery {
  readonly kind: 'status';
}
export interface StatusAnswer {
  readonly kind: 'statusAnswer';
  readonly status: Readonly<Record<string, unknown>>;
}
export interface Acknowledged {
  readonly kind: 'acknowledged';
}
/** The receiver may not act for what was asked. */
export interface NotOwner {
  readonly kind: 'notOwner';
}
/** The receiver does not know this kind of request. */
export interface Unsupported {
  readonly kind: 'unsupported';
}

export type ControlRequest =
  | ViewPing
  | GrantRequest
  | GrantReturn
  | BucketHandOver
  | KeyClaim
  | KeySettle
  | KeyHandOver
  | CancelIfNotStarted
  | ConfigurationDigest
  | ConfigurationPush
  | Leaving
  | StatusQuery;

export type ControlReply =
  | ViewAnswer
  | GrantAnswer
  | KeyAnswer
  | CancelAnswer
  | ConfigurationAnswer
  | StatusAnswer
  | Acknowledged
  | NotOwner
  | Unsupported;
