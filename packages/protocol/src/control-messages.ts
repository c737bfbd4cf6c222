/** Identifies a process by its host and a random id chosen at its start. */
export interface MemberIdentity {
  readonly hostId: string;
  readonly incarnation: string;
}

/** Identifies a view; views are ordered by number, then by proposer. */
export interface ViewIdentity {
  readonly number: number;
  readonly proposer: string;
}

/** The members among which ownership of a cell's shards is divided. */
export interface View {
  readonly identity: ViewIdentity;
  readonly members: readonly MemberIdentity[];
}

export interface ViewPing {
  readonly kind: 'viewPing';
  readonly cell: string;
  readonly from: MemberIdentity;
  /** The adopted view of the sender; null before it has one. */
  readonly view: View | null;
  /** Whether the sender is currently active under `view` (rule V5). */
  readonly active: boolean;
}
export interface ViewAnswer {
  readonly kind: 'viewAnswer';
  readonly from: MemberIdentity;
  readonly adopted: View | null;
  /** Views that may still be active as far as the sender knows. */
  readonly history: readonly View[];
  readonly active: boolean;
  readonly leaving: boolean;
}

export interface GrantRequest {
  readonly kind: 'grant';
  readonly organisation: string;
  readonly holder: MemberIdentity;
  /** Number of tokens requested. */
  readonly tokens: number;
  /** Tokens of earlier grants that were spent since the last report. */
  readonly spent: number;
  /** Increases with each request of a holder, to detect repeated requests. */
  readonly sequence: number;
}
export interface GrantAnswer {
  readonly kind: 'grantAnswer';
  readonly tokens: number;
  /** Time until a token can be granted; 0 if any were granted. */
  readonly retryAfterMs: number;
  /** Set while the refill delay of a new owner's bucket is running. */
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
  /** Wall-clock instant; keys created before it may lack a record. */
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
  /** The target incarnation to which the call was sent. */
  readonly incarnation: string;
  /**
   * The last `clockMs` that the target had sent before the call was sent.
   * Without it, the target promises nothing.
   */
  readonly sentAfterMs?: number;
}
export interface CancelAnswer {
  readonly kind: 'cancelAnswer';
  /**
   * `unknown`: the call may have run, but its entry may have expired. Older
   * peers reject it, so it only answers queries with `sentAfterMs`.
   */
  readonly verdict: 'neverStarts' | 'started' | 'unknown' | 'otherIncarnation';
}

export interface ConfigurationDigest {
  readonly kind: 'configurationDigest';
  readonly revision: number;
  readonly digest: string;
}
export interface ConfigurationPush {
  readonly kind: 'configurationPush';
  readonly revision: number;
  /** The JSON text of the document as published by the platform. */
  readonly document: string;
}
export interface ConfigurationAnswer {
  readonly kind: 'configurationAnswer';
  readonly revision: number;
  readonly digest: string;
  /** Set if the answering daemon has a newer document. */
  readonly document: string | null;
}
export interface Leaving {
  readonly kind: 'leaving';
  readonly hostId: string;
  /** Set when the host withdraws its departure. */
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
/** The receiver may not act as owner for the request. */
export interface NotOwner {
  readonly kind: 'notOwner';
}
/** The receiver does not support this kind of request. */
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
