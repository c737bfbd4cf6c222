import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';

/** A call to send: the frame without what the connection fills in. */
export type OutgoingCall = Omit<protocol.Call, 'kind' | 'call' | 'permission'>;

export interface OutgoingCallOptions {
  /** The receiver must not start the call later than this from now. */
  readonly permissionMs: number;
  /** Aborting sends `cancel` and drops the answer. */
  readonly signal: runtime.CancelSignal;
}

/** What ends every answer. */
export interface AnswerTrailer {
  readonly unspentRetries: number;
  readonly threshold: protocol.SheddingThreshold | null;
  readonly load?: protocol.ReportedLoad;
  /** With a refusal: when a repeat may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  /** With a refusal: whether the backend server itself refused the call. */
  readonly byServer?: boolean;
}

/** The result of a call as this end of the connection knows it. */
export type PeerResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      /** Throws when the answer is truncated, overlong or lost. */
      readonly body: AsyncIterable<Uint8Array>;
      /** Resolves after the last body byte; rejects when the body throws. */
      readonly trailer: Promise<AnswerTrailer>;
    }
  | ({
      /** An answer that came in one piece. */
      readonly kind: 'whole';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
    } & AnswerTrailer)
  | ({
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly final: boolean;
    } & AnswerTrailer)
  | ({
      readonly kind: 'unknown';
      readonly reason: protocol.UnknownReasonName;
    } & AnswerTrailer)
  /** The connection ended first; `sent` tells whether any byte may have left. */
  | {readonly kind: 'lost'; readonly sent: boolean};

/** One peer connection; both ends may call and ask. */
export interface PeerLink {
  /** The hello of the other end. */
  readonly remote: protocol.Hello;
  readonly closed: boolean;
  /** Throws TimeoutError or ConnectionError. */
  request(
    body: protocol.ControlRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply>;
  /** Resolves at the answer head, a refusal, or the loss of the connection. */
  call(
    head: OutgoingCall,
    body: AsyncIterable<Uint8Array> | null,
    options: OutgoingCallOptions,
  ): Promise<PeerResult>;
  /** Sends a one-way message to the handler of the other end. */
  report(report: Readonly<Record<string, unknown>>): void;
  /** Ends the connection; calls in flight are lost. */
  close(reason: string): void;
}

/** A call that arrived from a peer. Exactly one of the methods is used. */
export interface IncomingCall {
  readonly head: protocol.Call;
  /** False when the permission had ended before the frame arrived. */
  readonly inTime: boolean;
  /** Throws when the body is truncated, overlong or lost. */
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Aborted by `cancel` or the loss of the connection. */
  readonly signal: AbortSignal;
  /** The same at less cost. */
  readonly cancelSignal: runtime.CancelSignal;
  /** Streams an answer; `trailer` is asked for after the last byte. */
  answer(
    head: {
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
    },
    body: AsyncIterable<Uint8Array>,
    trailer: () => AnswerTrailer,
  ): Promise<void>;
  /** Sends an answer in one frame; the body must fit into it. */
  answerWhole(
    head: {readonly status: number; readonly headers: protocol.HeaderList},
    body: Uint8Array,
    trailer: AnswerTrailer,
  ): void;
  refuse(
    reason: protocol.RefusalReasonName,
    final: boolean,
    trailer: AnswerTrailer,
  ): void;
  reportUnknown(
    reason: protocol.UnknownReasonName,
    trailer: AnswerTrailer,
  ): void;
}

/** The receiving side of peer connections. */
export interface PeerHandler {
  onRequest(
    body: protocol.ControlRequest,
    link: PeerLink,
  ): Promise<protocol.ControlReply>;
  onCall(call: IncomingCall, link: PeerLink): Promise<void>;
  /** Takes a one-way message; a handler without it drops them. */
  onReport?(report: Readonly<Record<string, unknown>>, link: PeerLink): void;
}

/** Connections to other daemons, opened on demand and kept. */
export interface PeerDirectory {
  /** Throws ConnectionError when the peer cannot be reached in time. */
  connect(address: string, port: number): Promise<PeerLink>;
  /** Opens a connection that is not shared, for example after silence. */
  connectFresh(address: string, port: number): Promise<PeerLink>;
}
