import type * as declaration from '@camphorwharf/declaration';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as organisationLimiter from './organisation-limiter.js';
import type * as ownerClient from './owner-client.js';
import * as topology from './topology.js';

/** Time without calls after which the state of an organisation is evicted. */
const IDLE_MS = 60_000;

/** Timeout for returning a grant during graceful shutdown. */
const RETURN_TIMEOUT_MS = 500;

export interface LimitClientOptions {
  readonly region: string;
  readonly document: () => declaration.PublishedDocument | null;
  readonly owners: Pick<ownerClient.OwnerClient, 'send'>;
  readonly createGrants: (organisation: string) => ownership.GrantHolder;
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
}

/** Spends rate limit tokens of organisations at an entry daemon. */
export class LimitClient {
  private readonly limiters = new Map<
    string,
    organisationLimiter.OrganisationLimiter
  >();
  private lastEvictionMs = -Infinity;

  constructor(private readonly options: LimitClientOptions) {}

  /** Spends a prepaid token; false when the caller has to use `spend`. */
  trySpend(organisation: string, nowMs: number): boolean {
    return this.limiterFor(organisation, nowMs).trySpend(nowMs);
  }

  /** Spends a token, waiting for one for up to TOKEN_WAIT_MS. */
  async spend(
    organisation: string,
    nowMs: number,
    signal: AbortSignal,
  ): Promise<organisationLimiter.SpendResult> {
    const limiter = this.limiterFor(organisation, nowMs);
    const result = await limiter.spend(nowMs, signal);
    this.options.metrics.count(
      'limit_spends_total',
      'Tokens asked for by calls, by result',
      {result},
    );
    return result;
  }

  /** Returns unspent tokens to their owners during graceful shutdown. */
  async returnGrants(nowMs: number): Promise<void> {
    const returns = [...this.limiters.values()].flatMap(limiter => {
      const message = limiter.takeReturn(nowMs);
      return message ? [message] : [];
    });
    await Promise.all(
      returns.map(message => this.sendToOwner(message, RETURN_TIMEOUT_MS)),
    );
  }

  private limiterFor(
    organisation: string,
    nowMs: number,
  ): organisationLimiter.OrganisationLimiter {
    let limiter = this.limiters.get(organisation);
    if (!limiter) {
      this.evictIdle(nowMs);
      limiter = new organisationLimiter.OrganisationLimiter({
        grants: this.options.createGrants(organisation),
        sendToOwner: (body, timeoutMs) => this.sendToOwner(body, timeoutMs),
        clock: this.options.clock,
      });
      this.limiters.set(organisation, limiter);
    }
    return limiter;
  }

  private sendToOwner(
    body: protocol.GrantRequest | protocol.GrantReturn,
    timeoutMs: number,
  ): Promise<ownerClient.OwnerReply> {
    const document = this.options.document();
    const cellId =
      document &&
      topology.cellOfOrganisation(
        document,
        this.options.region,
        body.organisation,
      );
    if (!cellId) return Promise.resolve({kind: 'notOwner'});
    const shard = topology.bucketShard(body.organisation);
    return this.options.owners.send(cellId, shard, body, timeoutMs);
  }

  private evictIdle(nowMs: number): void {
    if (nowMs - this.lastEvictionMs < IDLE_MS) return;
    this.lastEvictionMs = nowMs;
    for (const [organisation, limiter] of this.limiters) {
      if (limiter.isIdle(nowMs, IDLE_MS)) this.limiters.delete(organisation);
    }
  }
}
