import type * as callPath from './call-path.js';
import type * as callers from './callers.js';
import * as deployments from './deployments.js';
import type * as measures from './measures.js';

/** A bound on a measure, from `docs/design.md`. */
export interface Bound {
  readonly measure: measures.MeasureName;
  readonly kind: 'atLeast' | 'atMost';
  readonly value: number;
}

/** Definition of an experiment. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** Duration of the cause of the overload. */
  readonly causeMs: number;
  /** Time that the run continues after the cause. */
  readonly recoveryMs: number;
  readonly bounds: readonly Bound[];
  /** Whether calls have different classes; otherwise all have class 2. */
  readonly mixedImportance: boolean;
  /** Whether refusals of calls within the agreed rate are measured. */
  readonly measuresWithinRate: boolean;
  /** Target of the bottleneck that leaves, and when after the cause starts. */
  readonly departure: {readonly target: number; readonly atMs: number} | null;
  /** Demand of an organisation, as a multiple of its agreed rate. */
  demandFactor(organisation: number, sinceCauseMs: number): number;
  readonly clientRetries: callers.ClientRetries | null;
  /** Capacity of the bottleneck, as a share of its normal one. */
  capacityShare(
    sinceCauseMs: number,
    deployment: deployments.Deployment,
  ): number;
  /** Schedules the events of the cause, with times relative to its start. */
  injectCause(
    path: callPath.CallPath,
    at: (sinceCauseMs: number, run: () => void) => void,
  ): void;
}

// Bounds from section 1 of `docs/design.md`.
const GOODPUT_BOUND: Bound = {measure: 'goodput', kind: 'atLeast', value: 95};
const RECOVERY_BOUND: Bound = {
  measure: 'recoveryMs',
  kind: 'atMost',
  value: 2_000,
};
const ORGANISATION_BOUND: Bound = {
  measure: 'worstOrganisation',
  kind: 'atLeast',
  value: 90,
};
const WITHIN_RATE_BOUND: Bound = {
  measure: 'refusedWithinRate',
  kind: 'atMost',
  value: 0.1,
};
const DUPLICATES_BOUND: Bound = {
  measure: 'duplicateRuns',
  kind: 'atMost',
  value: 0,
};
/** The first attempt and a retry budget of 3. */
const ATTEMPTS_BOUND: Bound = {
  measure: 'mostAttempts',
  kind: 'atMost',
  value: 4,
};
/** Rule I2 gives no figure; the random ranks cause noise of half a percent. */
const CLASS_ORDER_BOUND: Bound = {
  measure: 'classInversion',
  kind: 'atMost',
  value: 0.5,
};
const LEAVING_BOUND: Bound = {
  measure: 'lastStartMs',
  kind: 'atMost',
  value: 3_000,
};

const COMMON_BOUNDS = [
  GOODPUT_BOUND,
  RECOVERY_BOUND,
  ORGANISATION_BOUND,
  DUPLICATES_BOUND,
  ATTEMPTS_BOUND,
];

function defineScenario(
  name: string,
  summary: string,
  overrides: Partial<Scenario>,
): Scenario {
  const bounds = [
    ...COMMON_BOUNDS,
    ...(overrides.mixedImportance === false ? [] : [CLASS_ORDER_BOUND]),
    ...(overrides.measuresWithinRate ? [WITHIN_RATE_BOUND] : []),
    ...(overrides.departure ? [LEAVING_BOUND] : []),
  ];
  return {
    name,
    summary,
    causeMs: 20_000,
    recoveryMs: 8_000,
    bounds,
    mixedImportance: true,
    measuresWithinRate: false,
    departure: null,
    demandFactor: () => 1,
    clientRetries: null,
    capacityShare: () => 1,
    injectCause: () => {},
    ...overrides,
  };
}

/** Demand factor for a multiple of the bottleneck's capacity in the cause. */
function demandDuringCause(multiple: number, causeMs: number) {
  return (_organisation: number, sinceCauseMs: number) =>
    sinceCauseMs >= 0 && sinceCauseMs < causeMs
      ? multiple / deployments.AGREED_CAPACITY_SHARE
      : 1;
}

function surgeScenario(multiple: number): Scenario {
  return defineScenario(
    `surge-${multiple}`,
    `demand ${multiple} times the bottleneck for 20 s, then back`,
    {demandFactor: demandDuringCause(multiple, 20_000)},
  );
}

const SLOW_SERVICE_MS = 30_000;
const REJOIN_MS = 2_000;
const RETRY_STORM_MS = 10_000;
const DRAIN_AT_MS = 5_000;

/** Capacity share of the bottleneck while one of its targets is away. */
function capacityShareWithoutOneTarget(
  deployment: deployments.Deployment,
): number {
  const {targets} = deployment.chain[deployment.chain.length - 1];
  return (targets - 1) / targets;
}

export const SCENARIOS: readonly Scenario[] = [
  surgeScenario(2),
  surgeScenario(5),
  surgeScenario(10),
  defineScenario(
    'slow-service',
    'the deepest service runs at a tenth of its speed for 30 s, then heals',
    {
      causeMs: SLOW_SERVICE_MS,
      capacityShare: sinceMs =>
        sinceMs >= 0 && sinceMs < SLOW_SERVICE_MS ? 0.1 : 1,
      injectCause: (path, at) => {
        const setSlowDown = (factor: number) => () => {
          for (const target of path.bottleneck) target.server.slowDown = factor;
        };
        at(0, setSlowDown(10));
        at(SLOW_SERVICE_MS, setSlowDown(1));
      },
    },
  ),
  defineScenario(
    'retry-storm',
    'demand 3 times the bottleneck for 10 s; callers repeat up to 8 times',
    {
      causeMs: RETRY_STORM_MS,
      demandFactor: demandDuringCause(3, RETRY_STORM_MS),
      clientRetries: {maximum: 8, delayMs: 100},
    },
  ),
  defineScenario(
    'greedy-organisation',
    'the largest organisation at 5 times its rate; another returns after 5 s of silence',
    {
      mixedImportance: false,
      measuresWithinRate: true,
      demandFactor: (organisation, sinceMs) => {
        if (sinceMs < 0 || sinceMs >= 20_000) return 1;
        if (organisation === 0) return 5;
        return organisation === 2 && sinceMs < 5_000 ? 0 : 1;
      },
    },
  ),
  defineScenario(
    'cold-start',
    'a target of the bottleneck leaves and is back cold after 2 s, at the agreed demand',
    {
      causeMs: 10_000,
      measuresWithinRate: true,
      capacityShare: (sinceMs, deployment) => {
        if (sinceMs < 0) return 1;
        const remaining = capacityShareWithoutOneTarget(deployment);
        if (sinceMs < REJOIN_MS) return remaining;
        const coldFactor = 1 + 4 * Math.exp(-(sinceMs - REJOIN_MS) / 1_500);
        return remaining + (1 - remaining) / coldFactor;
      },
      injectCause: (path, at) => {
        at(0, () => path.bottleneck[0].startLeaving());
        at(REJOIN_MS, () => path.bottleneck[0].rejoin());
      },
    },
  ),
  defineScenario(
    'misleading-load',
    'demand 2 times the bottleneck for 20 s; load reports say idle, full, or 5 s ago',
    {
      demandFactor: demandDuringCause(2, 20_000),
      injectCause: (path, at) =>
        at(-3_000, () => {
          const modes = ['idle', 'full', 'lagging'] as const;
          for (const targets of path.levels) {
            targets.forEach((target, index) => {
              target.server.reportMode = modes[index % modes.length];
            });
          }
        }),
    },
  ),
  defineScenario(
    'drain-during-surge',
    'demand 5 times the bottleneck for 20 s; one of its targets leaves after 5 s',
    {
      demandFactor: demandDuringCause(5, 20_000),
      departure: {target: 0, atMs: DRAIN_AT_MS},
      capacityShare: (sinceMs, deployment) =>
        sinceMs >= DRAIN_AT_MS ? capacityShareWithoutOneTarget(deployment) : 1,
      injectCause: (path, at) =>
        at(DRAIN_AT_MS, () => path.bottleneck[0].startLeaving()),
    },
  ),
];
