import type * as declaration from '@camphorwharf/declaration';
import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as keyCoverage from './key-coverage.js';
import type * as extensions from './message-extensions.js';
import * as topology from './topology.js';

export interface OwnedStateOptions {
  readonly region: string;
  readonly buckets: ownership.BucketTable;
  readonly keys: ownership.KeyTable;
  readonly document: () => declaration.PublishedDocument | null;
  readonly findOrganisation: (name: string) => OrganisationRateLimits | null;
}

/** Fleet-wide rate and burst of an organisation. */
export type OrganisationRateLimits = Pick<
  declaration.Organisation,
  'ratePerSecond' | 'burst'
>;

/** State that an owner transfers to the next owner of some of its shards. */
export interface HandOver {
  readonly to: protocol.MemberIdentity;
  readonly message: protocol.BucketHandOver | protocol.KeyHandOver;
}

/** Serves buckets and keys while this member is permitted to act as owner. */
export class OwnedState {
  private readonly coverage = new keyCoverage.KeyCoverage();

  constructor(private readonly options: OwnedStateOptions) {}

  grant(
    request: protocol.GrantRequest,
    membership: ownership.CellMembership,
    nowMs: number,
  ): protocol.GrantAnswer | extensions.NotOwnerWithHint {
    const {buckets} = this.options;
    const limits = this.limitsFor(request.organisation);
    const shard = topology.bucketShard(request.organisation);
    if (!limits || !this.isBucketInCell(request.organisation, membership)) {
      return {kind: 'notOwner'};
    }
    const permission = membership.permission(shard, nowMs);
    if (permission.kind === 'denied') return notOwnerReply(membership, shard);
    return buckets.grant(request, limits, permission.ownerSinceMs, nowMs);
  }

  returnTokens(
    request: protocol.GrantReturn,
    membership: ownership.CellMembership,
    nowMs: number,
  ): protocol.Acknowledged | extensions.NotOwnerWithHint {
    const shard = topology.bucketShard(request.organisation);
    if (
      !this.isBucketInCell(request.organisation, membership) ||
      membership.permission(shard, nowMs).kind === 'denied'
    ) {
      return notOwnerReply(membership, shard);
    }
    this.options.buckets.returnTokens(request, nowMs);
    return {kind: 'acknowledged'};
  }

  claim(
    request: protocol.KeyClaim,
    membership: ownership.CellMembership,
    nowMs: number,
    nowWallMs: number,
  ): protocol.KeyAnswer | extensions.NotOwnerWithHint {
    const {keys} = this.options;
    const shard = topology.keyShard(
      request.organisation,
      request.idempotencyKey,
    );
    if (!this.isKeyInCell(request, membership)) return {kind: 'notOwner'};
    const permission = membership.permission(shard, nowMs);
    if (permission.kind === 'denied') return notOwnerReply(membership, shard);
    const {ownerSinceMs} = permission;
    const answer = keys.claim(
      request,
      this.coverage.effectiveSinceMs(shard, ownerSinceMs, nowMs, nowWallMs),
      nowMs,
      nowWallMs,
    );
    const isOlder = answer.verdict.kind === 'olderThanOwner';
    return isOlder && this.coverage.isPending(shard, ownerSinceMs, nowMs)
      ? {kind: 'notOwner'}
      : answer;
  }

  settle(
    request: protocol.KeySettle,
    membership: ownership.CellMembership,
    nowMs: number,
  ): protocol.Acknowledged | extensions.NotOwnerWithHint {
    const shard = topology.keyShard(
      request.organisation,
      request.idempotencyKey,
    );
    if (
      !this.isKeyInCell(request, membership) ||
      membership.permission(shard, nowMs).kind === 'denied'
    ) {
      return notOwnerReply(membership, shard);
    }
    this.options.keys.settle(request, nowMs);
    return {kind: 'acknowledged'};
  }

  /**
   * Accepts bucket levels of the direct predecessor. Once the bucket has been
   * refilled, adding a level would exceed the burst.
   */
  receiveBuckets(
    message: protocol.BucketHandOver,
    membership: ownership.CellMembership,
    nowMs: number,
  ): protocol.Acknowledged | protocol.NotOwner {
    const accepted = message.buckets.filter(({organisation}) => {
      const shard = topology.bucketShard(organisation);
      if (!isOwnerInView(membership, shard)) return false;
      const permission = membership.permission(shard, nowMs);
      return (
        permission.kind === 'denied' ||
        nowMs - permission.ownerSinceMs < ownership.NEW_OWNER_FILL_DELAY_MS
      );
    });
    for (const {organisation, tokens} of accepted) {
      this.options.buckets.receiveHandOver(organisation, tokens, nowMs);
    }
    return accepted.length === message.buckets.length
      ? {kind: 'acknowledged'}
      : {kind: 'notOwner'};
  }

  receiveKeys(
    message: extensions.KeyHandOverWithShards,
    membership: ownership.CellMembership,
    nowMs: number,
    nowWallMs: number,
  ): protocol.Acknowledged | protocol.NotOwner {
    const {shards = []} = message;
    if (!shards.every(shard => isOwnerInView(membership, shard))) {
      return {kind: 'notOwner'};
    }
    this.coverage.record(shards, message.coveredSinceMs, nowMs);
    const records = message.records.filter(record =>
      isOwnerInView(
        membership,
        topology.keyShard(record.organisation, record.idempotencyKey),
      ),
    );
    this.options.keys.receiveHandOver({...message, records}, nowMs, nowWallMs);
    return records.length === message.records.length
      ? {kind: 'acknowledged'}
      : {kind: 'notOwner'};
  }

  /**
   * Stops acting as owner permanently and returns the hand-overs. They contain
   * only shards that this member may serve; its other state is outdated.
   */
  leave(
    membership: ownership.CellMembership,
    nowMs: number,
  ): readonly HandOver[] {
    const {buckets, keys} = this.options;
    const canServe = (shard: string) =>
      membership.permission(shard, nowMs).kind === 'granted';
    const bucketLevels = buckets
      .drainForHandOver(nowMs)
      .filter(({organisation}) => canServe(topology.bucketShard(organisation)));
    const keyState = keys.drainForHandOver(nowMs);
    const records = keyState.records.filter(record =>
      canServe(topology.keyShard(record.organisation, record.idempotencyKey)),
    );
    const keyShards = topology.keyShards().filter(canServe);
    membership.leave(nowMs);
    const {cell} = membership;
    const handOvers: HandOver[] = [];
    for (const [to, group] of groupByOwner(membership, bucketLevels, level =>
      topology.bucketShard(level.organisation),
    )) {
      handOvers.push({
        to,
        message: {kind: 'bucketHandOver', cell, buckets: group},
      });
    }
    const recordsByOwner = groupByOwner(membership, records, record =>
      topology.keyShard(record.organisation, record.idempotencyKey),
    );
    const shardsByOwner = groupByOwner(membership, keyShards, shard => shard);
    for (const [to, shards] of shardsByOwner) {
      const batches = splitIntoBatches(recordsByOwner.get(to) ?? []);
      for (const batch of batches.length > 0 ? batches : [[]]) {
        const message: extensions.KeyHandOverWithShards = {
          kind: 'keyHandOver',
          cell,
          coveredSinceMs: keyState.coveredSinceMs,
          records: batch,
          // A partial batch does not show that other keys are unclaimed.
          ...(batches.length <= 1 && {shards}),
        };
        handOvers.push({to, message});
      }
    }
    return handOvers;
  }

  private limitsFor(organisationName: string): ownership.BucketLimits | null {
    const document = this.options.document();
    const region = document?.regions.find(
      ({name}) => name === this.options.region,
    );
    const organisation = this.options.findOrganisation(organisationName);
    if (!region || !organisation) return null;
    return {
      ratePerSecond: organisation.ratePerSecond * region.weight,
      burst: organisation.burst * region.weight,
    };
  }

  private isBucketInCell(
    organisation: string,
    membership: ownership.CellMembership,
  ): boolean {
    const document = this.options.document();
    const cellId =
      document &&
      topology.cellOfOrganisation(document, this.options.region, organisation);
    return !!cellId && topology.cellName(cellId) === membership.cell;
  }

  private isKeyInCell(
    request: {readonly organisation: string; readonly idempotencyKey: string},
    membership: ownership.CellMembership,
  ): boolean {
    const document = this.options.document();
    const cellId =
      document &&
      topology.cellOfKey(
        document,
        request.organisation,
        request.idempotencyKey,
      );
    return !!cellId && topology.cellName(cellId) === membership.cell;
  }
}

/** Records per message; at 500 bytes each they fit the 2 MB frame limit. */
const RECORDS_PER_MESSAGE = 2_000;

function splitIntoBatches<T>(items: readonly T[]): T[][] {
  const batches: T[][] = [];
  for (let start = 0; start < items.length; start += RECORDS_PER_MESSAGE) {
    batches.push(items.slice(start, start + RECORDS_PER_MESSAGE));
  }
  return batches;
}

function groupByOwner<T>(
  membership: ownership.CellMembership,
  items: readonly T[],
  shardOf: (item: T) => string,
): Map<protocol.MemberIdentity, T[]> {
  const groups = new Map<protocol.MemberIdentity, T[]>();
  for (const item of items) {
    const owner = membership.ownerOf(shardOf(item));
    if (!owner || owner.hostId === membership.identity.hostId) continue;
    const group = groups.get(owner);
    if (group) group.push(item);
    else groups.set(owner, [item]);
  }
  return groups;
}

function isOwnerInView(
  membership: ownership.CellMembership,
  shard: string,
): boolean {
  const owner = membership.ownerOf(shard);
  return (
    owner?.hostId === membership.identity.hostId &&
    owner.incarnation === membership.identity.incarnation
  );
}

function notOwnerReply(
  membership: ownership.CellMembership,
  shard: string,
): extensions.NotOwnerWithHint {
  const owner = membership.ownerOf(shard);
  return owner
    ? {kind: 'notOwner', ownerHostId: owner.hostId}
    : {kind: 'notOwner'};
}
