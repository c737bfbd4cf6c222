import type * as context from './context.js';
import type * as control from './control-messages.js';
import type * as outcomes from './outcomes.js';

/** Versions of the peer protocol that this build speaks. */
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
}
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly number: number;
  /** The highest heartbeat number received from the other end, 0 at first. */
  readonly acknowledged: number;
}

/**
 * The permission to start a call: it must arrive within `remainingMs` of the
 * receiver having sent heartbeat `heartbeatNumber`, plus `elapsedMs`, the
 * time for which the sender had held that heartbeat.
 */
export interface SendPermission {
  readonly heartbeatNumber: number;
  readonly elapsedMs: number;
  readonly remainingMs: number;
}

export interface Call {
  readonly kind: 'call';
  /** Unique on this connection and direction. */
  readonly call: number;
  readonly attempt: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  /** Declared length of the body in bytes; null when not declared. */
  readonly contentLength: number | null;
  readonly hasBody: boolean;
  readonly context: context.CallContext;
  readonly permission: SendPermission;
  /** The whole body, when it is short enough to travel with the head. */
  readonly wholeBody?: Uint8Array;
  /** The backend server instance that alone may run the call. */
  readonly instance?: string;
  /** The service on whose host the call began. */
  readonly callerService?: string;
  /** Time in milliseconds within which an answer has its full value. */
  readonly objectiveMs?: number;
  /** Whether the call was made by a backend server that runs another call. */
  readonly nested?: boolean;
}
/** A part of a request body; `last` ends it and states the total length. */
export interface CallBody {
  readonly kind: 'callBody';
  readonly call: number;
  readonly chunk: Uint8Array;
  readonly last: boolean;
  readonly totalBytes: number;
}
/** Allows the other end to send this many more body bytes of the call. */
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
/** A whole answer in one frame. */
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
/** What a target's daemon says of its backend server's load. */
export interface ReportedLoad {
  /** Calls that run, in this instant. */
  readonly running: number;
  /** Calls that wait in the daemon's queue. */
  readonly waiting: number;
  /** Calls that the backend server can run at once. */
  readonly slots: number;
  /** Part of its time for which the daemon is at work, from 0 to 1. */
  readonly busyShare?: number;
  /** Pressure of the service and of those below it, from 0 to 1. */
  readonly pressure?: number;
  /** Pressure of the services below alone. */
  readonly downstreamPressure?: number;
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
  /** Final refusals are passed upstream without a retry. */
  readonly final: boolean;
  readonly unspentRetries: number;
  readonly threshold: context.SheddingThreshold | null;
  readonly load?: ReportedLoad;
  /** When a repeat may succeed, in milliseconds. */
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
/** The sender no longer wants the answer of this call. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly call: number;
}
/** A one-way message of the coordination layer, which checks its contents. */
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
