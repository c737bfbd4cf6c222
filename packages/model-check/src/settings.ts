import * as ownership from '@camphorwharf/ownership';
import * as protocol from '@camphorwharf/protocol';

/** Model time that passes in one step. */
export const STEP_MS = 500;
export const ORGANISATION = 'o';
export const CELL = 'c';
/** The burst exceeds the tokens that accrue during a takeover fence. */
export const LIMITS = {ratePerSecond: 2, burst: 16};
export const WALL_START_MS = 1_700_000_000_000;

/** With three daemons, each of them owns one of these shards. */
export const BUCKET_SHARD = 'bucket:o';
export const KEY_SHARD = 'key:5';
export const SHARDS = [BUCKET_SHARD, KEY_SHARD, 'key:4'];

/** Time after which a daemon gives up on a request. */
export const REQUEST_TIMEOUT_MS = 1_000;

/**
 * Creates the objects under test. Mutations replace some of them with faulty
 * ones, so that the product classes need no test hooks.
 */
export interface ProductFactory {
  member(
    identity: protocol.MemberIdentity,
    startedMs: number,
  ): ownership.CellMember;
  buckets(): ownership.BucketTable;
  grant(holder: protocol.MemberIdentity): ownership.GrantHolder;
  keys(): ownership.KeyTable;
  calls(): ownership.StartedCalls;
  /** Whether a daemon with revision `current` adopts the offered one. */
  adoptsRevision(current: number, offered: number): boolean;
  /** Whether a target starts a call that was sent at `sentMs`. */
  acceptsCall(sentMs: number, nowMs: number): boolean;
  /** Lifetime of a grant as its holder assumes it. */
  readonly grantLifetimeMs: number;
}

/** Creates the unmodified product objects. */
export const PRODUCT_FACTORY: ProductFactory = {
  member: (identity, startedMs) =>
    new ownership.CellMember({cell: CELL, identity, startedMs}),
  buckets: () => new ownership.Buckets(),
  grant: holder =>
    new ownership.PrepaidGrant({organisation: ORGANISATION, holder}),
  grantLifetimeMs: ownership.GRANT_LIFETIME_MS,
  keys: () => new ownership.KeyRecords(),
  calls: () => new ownership.CallRegister(),
  adoptsRevision: (current, offered) => offered > current,
  acceptsCall: (sentMs, nowMs) =>
    nowMs - sentMs < protocol.PERMISSION_LIFETIME_MS,
};
