import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as ownerClient from './owner-client.js';
import * as topology from './topology.js';

/** Time limit of a claim; it covers a round trip between regions. */
export const CLAIM_TIMEOUT_MS = 1_000;

/** Timeout of one attempt before a claim is retried. */
const CLAIM_ATTEMPT_TIMEOUT_MS = 400;

const CLAIM_RETRY_DELAY_MS = 25;

/**
 * How long delivery of a result to the owner is retried. A change of owner
 * takes less time; a record without a result only keeps its key in progress.
 */
export const SETTLE_TIMEOUT_MS = 10_000;

const SETTLE_ATTEMPT_TIMEOUT_MS = 500;
const SETTLE_RETRY_DELAY_MS = 200;

/** Maximum number of undelivered results; further ones are dropped. */
const MAXIMUM_PENDING_RESULTS = 10_000;

export interface KeyClientOptions {
  readonly document: () => declaration.PublishedDocument | null;
  readonly owners: Pick<ownerClient.OwnerClient, 'send'>;
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

export type ClaimVerdict = protocol.KeyAnswer['verdict'] | 'unavailable';

/** Claims idempotency keys at their owners and reports call results to them. */
export class KeyClient {
  private pendingResults = 0;

  constructor(private readonly options: KeyClientOptions) {}

  /**
   * Resolves to `unavailable` when no owner answered in time. The caller must
   * not send the call then. The claim is released in the background, because
   * the owner may have recorded it.
   */
  async claim(
    request: Omit<protocol.KeyClaim, 'kind'>,
    nowMs: number,
    timeoutMs: number = CLAIM_TIMEOUT_MS,
  ): Promise<ClaimVerdict> {
    const verdict = await this.claimWithRetries(
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

  /** Reports a result in the background; retries for SETTLE_TIMEOUT_MS. */
  settle(request: Omit<protocol.KeySettle, 'kind'>): void {
    if (this.pendingResults >= MAXIMUM_PENDING_RESULTS) {
      this.countLostResult();
      return;
    }
    this.pendingResults++;
    void this.settleWithRetries({kind: 'keySettle', ...request}).finally(() => {
      this.pendingResults--;
    });
  }

  private async claimWithRetries(
    body: protocol.KeyClaim,
    deadlineMs: number,
  ): Promise<ClaimVerdict> {
    const {clock} = this.options;
    for (;;) {
      const remainingMs = deadlineMs - clock.monotonicMs();
      if (remainingMs <= 0) return 'unavailable';
      // Retries are idempotent: the same request id gets the same verdict.
      const result = await this.sendToOwner(
        body,
        Math.min(remainingMs, CLAIM_ATTEMPT_TIMEOUT_MS),
      );
      if (result.kind === 'reply' && result.reply.kind === 'keyAnswer') {
        return result.reply.verdict;
      }
      await clock.delay(CLAIM_RETRY_DELAY_MS);
    }
  }

  private async settleWithRetries(body: protocol.KeySettle): Promise<void> {
    const {clock} = this.options;
    const deadlineMs = clock.monotonicMs() + SETTLE_TIMEOUT_MS;
    while (clock.monotonicMs() < deadlineMs) {
      const result = await this.sendToOwner(body, SETTLE_ATTEMPT_TIMEOUT_MS);
      if (result.kind === 'reply') return;
      await clock.delay(SETTLE_RETRY_DELAY_MS);
    }
    this.countLostResult();
  }

  private sendToOwner(
    body: protocol.KeyClaim | protocol.KeySettle,
    timeoutMs: number,
  ): Promise<ownerClient.OwnerReply> {
    const {organisation, idempotencyKey} = body;
    const document = this.options.document();
    const cellId =
      document && topology.cellOfKey(document, organisation, idempotencyKey);
    if (!cellId) return Promise.resolve({kind: 'notOwner'});
    const shard = topology.keyShard(organisation, idempotencyKey);
    return this.options.owners.send(cellId, shard, body, timeoutMs);
  }

  private countLostResult(): void {
    this.options.metrics.count(
      'key_settles_lost_total',
      'Results that did not reach the owner of their key',
    );
  }
}
