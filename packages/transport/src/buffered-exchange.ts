import type * as protocol from '@camphorwharf/protocol';
import type * as serverConnection from './server-connection.js';

/** A request to the local backend server whose response is buffered. */
export interface BufferedExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Sent unchanged; the caller has removed the hop-by-hop headers. */
  readonly headers: protocol.HeaderList;
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | null;
  /** Length of a streamed body; null sends it with chunked encoding. */
  readonly contentLength: number | null;
  /**
   * A connection that was idle for longer is not reused, because the server may
   * have closed it and a non-idempotent request cannot be retried.
   */
  readonly maximumIdleMs: number;
  /**
   * Whether this is the response to this request. After any other, the
   * connection closes, because the right one may still follow on it. By default
   * every response is.
   */
  readonly isExpected?: (response: BufferedResponse) => boolean;
}

/** A whole response to a request to the backend server. */
export type BufferedResponse = BufferedExchangeResult & {
  readonly kind: 'answer';
};

/** The result of a request to the backend server. */
export type BufferedExchangeResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly body: Uint8Array;
      /**
       * Whether bytes followed the response in the same read. They belong to no
       * request, but show that the server sent more than it was asked for.
       */
      readonly hasTrailingBytes: boolean;
      readonly connection: serverConnection.ConnectionUse;
    }
  /** No byte of the request was written. */
  | {readonly kind: 'notSent'; readonly error: Error}
  /** The backend server may have received the request. */
  | {readonly kind: 'lost'; readonly error: Error};

/** A request in flight. */
export interface BufferedExchange {
  readonly result: Promise<BufferedExchangeResult>;
  /** Closes the connection; the result is `lost` or `notSent`. */
  cancel(): void;
}
