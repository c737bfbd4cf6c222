import type * as protocol from '@camphorwharf/protocol';

/** The outcome of a call as known to the daemon that sent it. */
export type CallResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      readonly body: AsyncIterable<Uint8Array>;
      /** Resolves to true after the last byte, false if the response is lost. */
      readonly finished: Promise<boolean>;
    }
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly final: boolean;
    }
  | {readonly kind: 'unknown'; readonly reason: protocol.UnknownReasonName};
