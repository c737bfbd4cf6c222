import type * as declaration from '@camphorwharf/declaration';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as organisationLimit from './organisation-limit.js';
import type * as ownerClient from './owner-client.js';
import * as topology from './topology.js';

/** Organisations without calls for this time are forgotten. */
const IDLE_MS = 60_000;

/** How long the return of a grant on a planned stop may take. */
const RETURN_TIMEOUT_MS = 500;

export interface LimitClientOptions {
  readonly region: string;
  readonly document: () => declaration.PublishedDocument | null;
  readonly owners: Pick<ownerClient.OwnerClient, 'ask'>;
  readonly createGrants: (organisation: string) => ownership.GrantHolder;
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
}

/** Spends tokens of organisations at an entry daemon. */
export class LimitClient {
  private readonly limits = new Map<
    string,
    organisationLimit.OrganisationLimit
  >();
  private sweptMs = -Infinity;

  constructor(private readonly options: LimitClientOptions) {}

  /** Spends a token that is already held; false when `spend` has to wait. */
  trySpend(organisation: string, nowMs: number): boolean {
    return this.limitOf(organisation, nowMs).trySpend(nowMs);
  }

  /** Resolves within TOKEN_WAIT_MS. */
  async spend(
    organisation: string,
    nowMs: number,
    signal: AbortSignal,
  ): Promise<organisationLimit.SpendResult> {
    const limit = this.limitOf(organisation, nowMs);
    const result = await limit.spend(nowMs, signal);
    this.options.metrics.count(
      'limit_spends_total',
      'Tokens asked for by calls, by result',
      {result},
    );
    return result;
  }

  /** Gives unspent tokens back on a planned stop. */
  async returnGrants(nowMs: number): Promise<void> {
    const returns = [...this.limits.values()].flatMap(limit => {
      const message = limit.takeReturn(nowMs);
      return message ? [message] : [];
    });
    await Promise.all(
      returns.map(message => this.ask(message, RETURN_TIMEOUT_MS)),
    );
  }

  private limitOf(
    organisation: string,
    nowMs: number,
  ): organisationLimit.OrganisationLimit {
    let limit = this.limits.get(organisation);
    if (!limit) {
      this.sweep(nowMs);
      limit = new organisationLimit.OrganisationLimit({
        grants: this.options.createGrants(organisation),
        ask: (body, timeoutMs) => this.ask(body, timeoutMs),
        clock: this.options.clock,
      });
      this.limits.set(organisation, limit);
    }
    return limit;
  }

  private ask(
    body: protocol.GrantRequest | protocol.GrantReturn,
    timeoutMs: number,
  ): Promise<ownerClient.OwnerReply> {
    const document = this.options.document();
    const place =
      document &&
      topology.cellOfOrganisation(
        document,
        this.options.region,
        body.organisation,
      );
    if (!place) return Promise.resolve({kind: 'notOwner'});
    const shard = topology.bucketShard(body.organisation);
    return this.options.owners.ask(place, shard, body, timeoutMs);
  }

  private sweep(nowMs: number): void {
    if (nowMs - this.sweptMs < IDLE_MS) return;
    this.sweptMs = nowMs;
    for (const [organisation, limit] of this.limits) {
      if (limit.isIdle(nowMs, IDLE_MS)) this.limits.delete(organisation);
    }
  }
}
