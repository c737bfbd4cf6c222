import type * as protocol from '@camphorwharf/protocol';

/** Payload of a message between daemons of the model. */
export type Body =
  | {readonly kind: 'ping'; readonly ping: protocol.ViewPing}
  | {
      readonly kind: 'pingAnswer';
      readonly answer: protocol.ViewAnswer;
      /** Sending time of the ping on the clock of its sender. */
      readonly pingSentMs: number;
    }
  | {readonly kind: 'grant'; readonly request: protocol.GrantRequest}
  | {
      readonly kind: 'grantAnswer';
      readonly holder: protocol.MemberIdentity;
      readonly sequence: number;
      /** Null when the receiver may not act as owner. */
      readonly answer: protocol.GrantAnswer | null;
    }
  | {
      readonly kind: 'handOver';
      readonly buckets: protocol.BucketHandOver['buckets'];
      readonly keys: Omit<protocol.KeyHandOver, 'kind' | 'cell'>;
    }
  | {readonly kind: 'claim'; readonly claim: protocol.KeyClaim}
  | {
      readonly kind: 'claimAnswer';
      readonly requestId: string;
      readonly verdict: protocol.KeyAnswer['verdict']['kind'] | 'notOwner';
    }
  | {readonly kind: 'settle'; readonly settle: protocol.KeySettle}
  | {
      readonly kind: 'call';
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly kind: 'callAnswer';
      readonly requestId: string;
      readonly attempt: number;
      readonly ran: boolean;
    }
  | {
      readonly kind: 'cancel';
      readonly requestId: string;
      readonly attempt: number;
      readonly incarnation: string;
      /** Model time at which the call was sent. */
      readonly callSentMs: number;
    }
  | {
      readonly kind: 'cancelAnswer';
      readonly requestId: string;
      readonly attempt: number;
      readonly verdict: protocol.CancelAnswer['verdict'];
    }
  | {readonly kind: 'configuration'; readonly revision: number};

/** A message in transit; delivered only to the incarnation it was sent to. */
export interface Message {
  readonly from: string;
  readonly to: string;
  readonly toIncarnation: string;
  readonly sentMs: number;
  readonly dueMs: number;
  readonly body: Body;
}

/** Sends a message to a host. */
export type Send = (to: string, body: Body) => void;
