import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as actions from './actions.js';
import * as settings from './settings.js';
import * as world from './world.js';

const WITHOUT_LIMIT_MS = 1_000_000;

/** A faulty variant of the product, and a schedule that shows the fault. */
export interface Mutation {
  readonly factory: settings.Factory;
  /** Text that the reported violation contains. */
  readonly violates: string;
  readonly hosts: readonly string[];
  /** Actions in order; a number stands for that many steps without one. */
  readonly schedule: readonly ScheduleItem[];
}

export type ScheduleItem = actions.Action | number;

/** Runs a schedule from a settled cell; returns the violations. */
export function runSchedule(
  factory: settings.Factory,
  hosts: readonly string[],
  schedule: readonly ScheduleItem[],
): readonly string[] {
  const state = new world.World({hosts, factory});
  state.settle(SETTLING_STEPS);
  for (const item of schedule) {
    if (typeof item !== 'number') state.step(item);
    else for (let step = 0; step < item; step++) state.step({kind: 'none'});
  }
  return state.properties.violations;
}

/** Steps after which the first view acts and the buckets are full. */
export const SETTLING_STEPS = 40;

/** Gives tokens without taking them out of the bucket. */
class UndebitedBuckets extends ownership.Buckets {
  override grant(
    request: protocol.GrantRequest,
    limits: ownership.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer {
    const answer = super.grant(request, limits, ownerSinceMs, nowMs);
    super.giveBack(
      {
        kind: 'grantReturn',
        organisation: request.organisation,
        holder: request.holder,
        spent: 0,
        unspent: answer.tokens,
        sequence: request.sequence + 0.5,
      },
      nowMs,
    );
    return answer;
  }
}

/** Starts a bucket with the whole burst. */
class FullBuckets extends ownership.Buckets {
  override grant(
    request: protocol.GrantRequest,
    limits: ownership.BucketLimits,
    ownerSinceMs: number,
    nowMs: number,
  ): protocol.GrantAnswer {
    const startMs = Math.min(ownerSinceMs, nowMs);
    super.receiveHandOver(request.organisation, limits.burst, startMs);
    return super.grant(request, limits, ownerSinceMs, nowMs);
  }
}

/** Promises that a call never starts without recording it. */
class TombstonelessRegister extends ownership.CallRegister {
  override cancelIfNotStarted(): 'neverStarts' {
    return 'neverStarts';
  }
}

/** Ignores histories, and views heard of before the first one is joined. */
class HistorylessMember extends ownership.CellMember {
  override answerPing(
    ping: protocol.ViewPing,
    nowMs: number,
  ): protocol.ViewAnswer {
    const view = this.adopted ? ping.view : null;
    return super.answerPing({...ping, view}, nowMs);
  }

  override recordAnswer(
    answer: protocol.ViewAnswer,
    pingSentMs: number,
    nowMs: number,
  ): void {
    const isKnown =
      this.adopted !== null ||
      answer.adopted?.members.some(
        member => member.hostId === this.identity.hostId,
      );
    const adopted = isKnown ? answer.adopted : null;
    super.recordAnswer({...answer, adopted, history: []}, pingSentMs, nowMs);
  }
}

/** Accepts keys that a former owner may know. */
class UnguardedKeys extends ownership.KeyRecords {
  override claim(
    request: protocol.KeyClaim,
    _ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): protocol.KeyAnswer {
    return super.claim(request, -WITHOUT_LIMIT_MS, nowMs, nowWallMs);
  }
}

/** Releases a claim although the call may have run. */
class ReleasingKeys extends ownership.KeyRecords {
  override settle(request: protocol.KeySettle, nowMs: number): void {
    const isUnknown = request.result.kind === 'unknown';
    const result = isUnknown ? ({kind: 'notRun'} as const) : request.result;
    super.settle({...request, result}, nowMs);
  }
}

function memberWith(options: {
  readonly takeoverFenceMs?: number;
  readonly contactLeaseMs?: number;
}): settings.Factory['member'] {
  return (identity, startedMs) =>
    new ownership.CellMember({
      cell: settings.CELL,
      identity,
      startedMs,
      ...options,
    });
}

function memberOf(
  type: typeof ownership.CellMember,
): settings.Factory['member'] {
  return (identity, startedMs) =>
    new type({cell: settings.CELL, identity, startedMs});
}

function mutation(
  violates: string,
  change: Partial<settings.Factory>,
  schedule: readonly ScheduleItem[],
  hosts: readonly string[] = ['a', 'b', 'c'],
): Mutation {
  const factory = {...settings.PRODUCT, ...change};
  return {violates, factory, schedule, hosts};
}

const PARTITION_C: actions.Action = {
  kind: 'partition',
  group: ['c'],
  durationMs: 8_000,
};
const UNLIST_C: actions.Action = {kind: 'unlist', host: 'c'};

function demandAt(host: string): actions.Action {
  return {kind: 'demand', host, on: true};
}

function callAt(host: string): actions.Action {
  return {kind: 'call', host, key: 0};
}

function delayFrom(host: string, byMs: number): actions.Action {
  return {kind: 'delay', from: host, durationMs: 1_000, byMs};
}

/** Each of these has to be caught by its schedule. */
export const MUTATIONS: Readonly<Record<string, Mutation>> = {
  takeoverFenceRemoved: mutation(
    'has owners',
    {member: memberWith({takeoverFenceMs: 0})},
    [PARTITION_C, UNLIST_C, 10],
  ),
  takeoverFenceShorterThanLease: mutation(
    'has owners',
    {member: memberWith({takeoverFenceMs: 500})},
    [PARTITION_C, UNLIST_C, 10],
  ),
  contactLeaseWithoutEnd: mutation(
    'has owners',
    {member: memberWith({contactLeaseMs: WITHOUT_LIMIT_MS})},
    [PARTITION_C, 14],
  ),
  historyIgnored: mutation(
    'has owners',
    {member: memberOf(HistorylessMember)},
    [
      {kind: 'partition', group: ['b'], durationMs: 8_000},
      {kind: 'replace', host: 'd', by: 'f'},
      8,
    ],
    ['a', 'b', 'c', 'd'],
  ),
  grantNotDebited: mutation(
    'window exceeds',
    {buckets: () => new UndebitedBuckets()},
    [demandAt('b'), 5],
  ),
  newOwnerStartsFull: mutation(
    'window exceeds',
    {buckets: () => new FullBuckets()},
    [demandAt('b'), {kind: 'restart', host: 'c'}, 14],
  ),
  grantOutlivesWriteOff: mutation(
    'window exceeds',
    {
      grantLifetimeMs: 2 * ownership.GRANT_LIFETIME_MS,
      grant: holder =>
        new ownership.PrepaidGrant({
          organisation: settings.ORGANISATION,
          holder,
          grantLifetimeMs: 2 * ownership.GRANT_LIFETIME_MS,
        }),
    },
    [demandAt('a'), 4, demandAt('b'), 5],
  ),
  tombstoneIgnored: mutation(
    'ran 2 times',
    {calls: () => new TombstonelessRegister()},
    [delayFrom('a', 1_500), callAt('a'), 10],
  ),
  lateCallAccepted: mutation('ran 2 times', {acceptsCall: () => true}, [
    delayFrom('a', 6_000),
    callAt('a'),
    14,
  ]),
  formerOwnersKeysAccepted: mutation(
    'ran 2 times',
    {keys: () => new UnguardedKeys()},
    [callAt('b'), {kind: 'restart', host: 'a'}, 8, callAt('b'), 2],
  ),
  unknownClaimReleased: mutation(
    'ran 2 times',
    {keys: () => new ReleasingKeys()},
    [
      {kind: 'lose', from: 'b', durationMs: 4_000},
      callAt('a'),
      10,
      callAt('c'),
      3,
    ],
  ),
  olderRevisionAdopted: mutation('back to', {adoptsRevision: () => true}, [
    {kind: 'publish'},
    2,
    {kind: 'platform', mode: 'stale', durationMs: 2_000},
    2,
  ]),
};
