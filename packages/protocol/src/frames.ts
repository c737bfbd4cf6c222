import type * as context from './context.js';
import type * as control from './control-messages.js';
import type * as outcomes from './outcomes.js';

/** Versions of the peer protocol that this build supports. */
export const PROTOCOL_VERSION_MINIMUM = 1;
export const PROTOCOL_VERSION_MAXIMUM = 1;

/** Header names and values in their order of arrival. */
export type HeaderList = ReadonlyArray<readonly [string, string]>;

export interface Hello {
  readonly kind: 'hello';
  readonly versionMinimum: number;
  readonly versionMaximum: number;
  readonly hostId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** Sender's monotonic clock in whole milliseconds; see `Heartbeat`. */
  readonly clockMs?: number;
}
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly number: number;
  /** The highest heartbeat number received from the peer; initially 0. */
  readonly acknowledged: number;
  /**
   * Sender's monotonic clock in whole milliseconds. The receiver compares it
   * with nothing and returns it in `CancelIfNotStarted`. Not in each heartbeat,
   * and absent from older peers.
   */
  readonly clockMs?: number;
}

/**
 * The permission to start a call. The call must arrive at most `elapsedMs`
 * plus `remainingMs` after the receiver sent heartbeat `heartbeatNumber`, where
 * `elapsedMs` is the time since that heartbeat reached the sender.
 */
export interface SendPermission {
  readonly heartbeatNumber: number;
  readonly elapsedMs: number;
  readonly remainingMs: number;
}

export interface Call {
  readonly kind: 'call';
  /** Unique per connection and direction. */
  readonly call: number;
  readonly attempt: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  /** Declared length of the body in bytes; null if not declared. */
  readonly contentLength: number | null;
  readonly hasBody: boolean;
  readonly context: context.CallContext;
  readonly permission: SendPermission;
  /** The whole body, if it is short enough to be sent in this frame. */
  readonly wholeBody?: Uint8Array;
  /** The only backend server instance that may run the call. */
  readonly instance?: string;
  /** The service on whose host the call originated. */
  readonly callerService?: string;
  /** Response time objective in milliseconds. */
  readonly objectiveMs?: number;
  /** Whether a backend server made the call while running another one. */
  readonly nested?: boolean;
}
/** A chunk of a request body; the last one states the total length. */
export interface CallBody {
  readonly kind: 'callBody';
  readonly call: number;
  readonly chunk: Uint8Array;
  readonly last: boolean;
  readonly totalBytes: number;
}
/** Flow control: the peer may send this many more body bytes of the call. */
export interface CallCredit {
  readonly kind: 'callCredit';
  readonly call: number;
  readonly bytes: number;
}
export interface AnswerHead {
  readonly kind: 'answerHead';
  readonly call: number;
  readonly attempt: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly contentLength: number | null;
}
/** A complete answer in one frame. */
export interface WholeAnswer {
  readonly kind: 'wholeAnswer';
  readonly call: number;
  readonly attempt: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly unspentRetries: number;
  readonly threshold: context.SheddingThreshold | null;
  readonly load?: ReportedLoad;
}
/** The load of a backend server as reported by the target's daemon. */
export interface ReportedLoad {
  /** Number of running calls. */
  readonly running: number;
  /** Number of calls waiting in the daemon's queue. */
  readonly waiting: number;
  /** Number of calls that the backend server can run concurrently. */
  readonly slots: number;
  /** Event loop utilisation of the daemon, from 0 to 1. */
  readonly busyShare?: number;
  /** Pressure of the service and its downstream services, from 0 to 1. */
  readonly pressure?: number;
  /** Pressure of the downstream services only. */
  readonly downstreamPressure?: number;
  /** Remaining cold time of the backend server; absent if it is warm. */
  readonly coldRemainingMs?: number;
  /** Calls per second that the backend server gets while it is cold. */
  readonly startsPerSecond?: number;
  /**
   * Expected slot-time at usual speed, in milliseconds, until a call that
   * arrives now gets a slot. Absent while slots are free, to save bytes.
   */
  readonly queuedWorkMs?: number;
  /**
   * Speed of the server in whole percent of the usual one. Absent if the server
   * does not report it, or if it is the usual one.
   */
  readonly speed?: number;
  /**
   * Run time in milliseconds of the call that was answered. Present only if the
   * call had to wait at the target: otherwise its sender knows the time.
   */
  readonly runMs?: number;
  /**
   * Pressure of the service without its downstream services, if it does not
   * follow from the other two.
   */
  readonly ownPressure?: number;
  /** The part of it that stems from the slots; absent if 0. */
  readonly slotPressure?: number;
  /**
   * Share of the recent calls of the backend server that failed, were refused
   * by it, or took much longer than usual, from 0 to 1; absent if it is small.
   */
  readonly poorShare?: number;
  /**
   * Slot time in milliseconds that a call like this one uses at each service of
   * its chain. In few responses; its receiver validates it.
   */
  readonly costs?: ReadonlyArray<readonly [service: string, costMs: number]>;
  /**
   * The service that refused a nested call, in the response of a call that
   * failed because of it; its receiver validates it.
   */
  readonly refusedBy?: string;
}
export interface AnswerBody {
  readonly kind: 'answerBody';
  readonly call: number;
  readonly chunk: Uint8Array;
}
export interface AnswerEnd {
  readonly kind: 'answerEnd';
  readonly call: number;
  readonly totalBytes: number;
  readonly unspentRetries: number;
  readonly threshold: context.SheddingThreshold | null;
}
export interface Refusal {
  readonly kind: 'refusal';
  readonly call: number;
  readonly reason: outcomes.RefusalReasonName;
  /** Whether the refusal is passed upstream without a retry. */
  readonly final: boolean;
  readonly unspentRetries: number;
  readonly threshold: context.SheddingThreshold | null;
  readonly load?: ReportedLoad;
  /** Delay in milliseconds after which a retry may succeed. */
  readonly retryAfterMs?: number;
  /** Whether the backend server itself refused the call. */
  readonly byServer?: boolean;
}
export interface UnknownOutcome {
  readonly kind: 'unknownOutcome';
  readonly call: number;
  readonly reason: outcomes.UnknownReasonName;
  readonly unspentRetries: number;
  readonly threshold: context.SheddingThreshold | null;
}
/** The sender no longer needs the answer to this call. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly call: number;
}
/** A one-way message of packages/host-daemon, which validates its content. */
export interface Report {
  readonly kind: 'report';
  readonly report: Readonly<Record<string, unknown>>;
}
export interface Request {
  readonly kind: 'request';
  readonly request: number;
  readonly body: control.ControlRequest;
}
export interface Reply {
  readonly kind: 'reply';
  readonly request: number;
  readonly body: control.ControlReply;
}

export type Frame =
  | Hello
  | Heartbeat
  | Call
  | CallBody
  | CallCredit
  | AnswerHead
  | WholeAnswer
  | AnswerBody
  | AnswerEnd
  | Refusal
  | UnknownOutcome
  | Cancel
  | Report
  | Request
  | Reply;
export type FrameKind = Frame['kind'];
