import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as ownerClient from './owner-client.js';
import * as topology from './topology.js';

/** How long a claim may take; it covers a round trip between regions. */
export const CLAIM_TIMEOUT_MS = 1_000;

/** How long one exchange of a claim may take before it is repeated. */
const CLAIM_ATTEMPT_MS = 400;

const CLAIM_RETRY_MS = 25;

/**
 * How long a result is offered to the owner. A change of owner needs less; a
 * record without its result only keeps the key in progress.
 */
export const SETTLE_TIMEOUT_MS = 10_000;

const SETTLE_ATTEMPT_MS = 500;
const SETTLE_RETRY_MS = 200;

/** Results that wait for their owner; beyond it they are dropped. */
const SETTLE_LIMIT = 10_000;

export interface KeyClientOptions {
  readonly document: () => declaration.PublishedDocument | null;
  readonly owners: Pick<ownerClient.OwnerClient, 'ask'>;
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

export type ClaimVerdict = protocol.KeyAnswer['verdict'] | 'unavailable';

/** Claims idempotency keys at their owners and reports results to them. */
export class KeyClient {
  private settling = 0;

  constructor(private readonly options: KeyClientOptions) {}

  /**
   * Resolves to `unavailable` when no owner answered in time. The call must
   * not be sent then; the claim is released in the background, in case the
   * owner has taken it.
   */
  async claim(
    request: Omit<protocol.KeyClaim, 'kind'>,
    nowMs: number,
    timeoutMs: number = CLAIM_TIMEOUT_MS,
  ): Promise<ClaimVerdict> {
    const verdict = await this.tryClaim(
      {kind: 'keyClaim', ...request},
      nowMs + Math.min(timeoutMs, CLAIM_TIMEOUT_MS),
    );
    this.options.metrics.count(
      'key_claims_total',
      'Claims of idempotency keys by verdict',
      {verdict: verdict === 'unavailable' ? verdict : verdict.kind},
    );
    if (verdict === 'unavailable') {
      const {organisation, idempotencyKey, requestId} = request;
      this.settle({
        organisation,
        idempotencyKey,
        requestId,
        result: {kind: 'notRun'},
      });
    }
    return verdict;
  }

  /** Reports a result in the background, with repeats for a bounded time. */
  settle(request: Omit<protocol.KeySettle, 'kind'>): void {
    if (this.settling >= SETTLE_LIMIT) {
      this.noteLost();
      return;
    }
    this.settling++;
    void this.trySettle({kind: 'keySettle', ...request}).finally(() => {
      this.settling--;
    });
  }

  private async tryClaim(
    body: protocol.KeyClaim,
    endMs: number,
  ): Promise<ClaimVerdict> {
    const {clock} = this.options;
    for (;;) {
      const leftMs = endMs - clock.monotonicMs();
      if (leftMs <= 0) return 'unavailable';
      // A repeat with the same request id gets the same verdict.
      const result = await this.ask(body, Math.min(leftMs, CLAIM_ATTEMPT_MS));
      if (result.kind === 'reply' && result.reply.kind === 'keyAnswer') {
        return result.reply.verdict;
      }
      await clock.delay(CLAIM_RETRY_MS);
    }
  }

  private async trySettle(body: protocol.KeySettle): Promise<void> {
    const {clock} = this.options;
    const endMs = clock.monotonicMs() + SETTLE_TIMEOUT_MS;
    while (clock.monotonicMs() < endMs) {
      const result = await this.ask(body, SETTLE_ATTEMPT_MS);
      if (result.kind === 'reply') return;
      await clock.delay(SETTLE_RETRY_MS);
    }
    this.noteLost();
  }

  private ask(
    body: protocol.KeyClaim | protocol.KeySettle,
    timeoutMs: number,
  ): Promise<ownerClient.OwnerReply> {
    const {organisation, idempotencyKey} = body;
    const document = this.options.document();
    const place =
      document && topology.cellOfKey(document, organisation, idempotencyKey);
    if (!place) return Promise.resolve({kind: 'notOwner'});
    const shard = topology.keyShard(organisation, idempotencyKey);
    return this.options.owners.ask(place, shard, body, timeoutMs);
  }

  private noteLost(): void {
    this.options.metrics.count(
      'key_settles_lost_total',
      'Results that did not reach the owner of their key',
    );
  }
}
