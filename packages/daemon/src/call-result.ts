import type * as protocol from '@camphorwharf/protocol';

/** The end of a call as the daemon that sent it knows it. */
export type CallResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: protocol.HeaderList;
      readonly contentLength: number | null;
      readonly body: AsyncIterable<Uint8Array>;
      /** Settles when the last byte has been read or the answer was lost. */
      readonly finished: Promise<boolean>;
    }
  | {
      readonly kind: 'refused';
      readonly reason: protocol.RefusalReasonName;
      readonly final: boolean;
    }
  | {readonly kind: 'unknown'; readonly reason: protocol.UnknownReasonName};
