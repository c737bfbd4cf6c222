import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';

/**
 * A call to send: the `call` frame without the fields set by the connection.
 */
export type OutgoingCall = Omit<protocol.Call, 'kind' | 'call' | 'permission'>;

export interface OutgoingCallOptions {
  /** The receiver must not start the call after this time, from now. */
  readonly permissionMs: number;
  /** Aborting sends `cancel` and discards the response. */
  readonly signal: runtime.CancelSignal;
}

/** Metadata at the end of every response, refusal or unknown outcome. */
export interface ResponseTrailer {
  readonly unspentRetries: number;
  readonly threshold: protocol.SheddingThreshold | null;
  readonly load?: protocol.ReportedLoad;
  /**
   * For a refusal: the delay in milliseconds after which a retry may succeed.
   */
  readonly retryAfterMs?: number;
  /** For a refusal: whether the backend server itself refused the call. */
  readonly byServer?: boolean;
}

/** The result of a call as known to this end of the connection. */
export type PeerResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      /** Throws when the response is truncated, too long or lost. */
      readonly body: AsyncIterable<Uint8Array>;
      /** Resolves after the last body byte; rejects when the body throws. */
      readonly trailer: Promise<ResponseTrailer>;
    }
  | ({
      /** A response that arrived in a single frame. */
      readonly kind: 'whole';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
    } & ResponseTrailer)
  | ({
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly final: boolean;
    } & ResponseTrailer)
  | ({
      readonly kind: 'unknown';
      readonly reason: protocol.UnknownReasonName;
    } & ResponseTrailer)
  /**
   * The connection ended first. `sent`: whether any byte may have been sent.
   * `sentAfterMs`: the last reading of its clock that the remote end had sent
   * before the call; absent if it is an older peer.
   */
  | {
      readonly kind: 'lost';
      readonly sent: boolean;
      readonly sentAfterMs?: number;
    };

/** One peer connection. Both ends may send calls and control requests. */
export interface PeerLink {
  /** The hello of the remote end. */
  readonly remote: protocol.Hello;
  readonly closed: boolean;
  /** Sends a control request. Throws TimeoutError or ConnectionError. */
  request(
    body: protocol.ControlRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply>;
  /** Resolves on the response head, a refusal or the end of the connection. */
  call(
    head: OutgoingCall,
    body: AsyncIterable<Uint8Array> | null,
    options: OutgoingCallOptions,
  ): Promise<PeerResult>;
  /** Sends a one-way message to the handler of the remote end. */
  report(report: Readonly<Record<string, unknown>>): void;
  /** Closes the connection; calls in flight are lost. */
  close(reason: string): void;
}

/** A call received from a peer. Its handler uses exactly one of the methods. */
export interface IncomingCall {
  readonly head: protocol.Call;
  /** False when the permission had expired before the frame arrived. */
  readonly permissionValid: boolean;
  /** Monotonic time at which the permission was checked, in milliseconds. */
  readonly acceptedMs: number;
  /** Throws when the body is truncated, too long or lost. */
  readonly body: AsyncIterable<Uint8Array> | null;
  /** Aborted by a `cancel` frame or the end of the connection. */
  readonly signal: AbortSignal;
  /** Like `signal`, but cheaper. */
  readonly cancelSignal: runtime.CancelSignal;
  /** Streams a response; `trailer` is called after the last byte. */
  respond(
    head: {
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
    },
    body: AsyncIterable<Uint8Array>,
    trailer: () => ResponseTrailer,
  ): Promise<void>;
  /** Sends a response in a single frame, into which the body must fit. */
  respondWhole(
    head: {readonly status: number; readonly headers: protocol.HeaderList},
    body: Uint8Array,
    trailer: ResponseTrailer,
  ): void;
  refuse(
    reason: protocol.RefusalReasonName,
    final: boolean,
    trailer: ResponseTrailer,
  ): void;
  reportUnknown(
    reason: protocol.UnknownReasonName,
    trailer: ResponseTrailer,
  ): void;
}

/** Handles what peers send. */
export interface PeerHandler {
  onRequest(
    body: protocol.ControlRequest,
    link: PeerLink,
  ): Promise<protocol.ControlReply>;
  onCall(call: IncomingCall, link: PeerLink): Promise<void>;
  /** Handles a one-way message. Without this method, they are discarded. */
  onReport?(report: Readonly<Record<string, unknown>>, link: PeerLink): void;
}

/** Opens connections to other daemons on demand and keeps them open. */
export interface PeerConnector {
  /**
   * Returns the shared connection to a peer. Throws ConnectionError when the
   * peer cannot be reached in time.
   */
  connect(address: string, port: number): Promise<PeerLink>;
  /**
   * Opens an unshared connection, for example when the shared one is silent.
   */
  connectUnshared(address: string, port: number): Promise<PeerLink>;
}
