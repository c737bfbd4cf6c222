import type * as callPath from './call-path.js';
import type * as callers from './callers.js';
import * as deployments from './deployments.js';
import type * as measures from './measures.js';

/** A bound of the design page on one measure. */
export interface Bound {
  readonly measure: measures.MeasureName;
  readonly kind: 'atLeast' | 'atMost';
  readonly value: number;
}

/** One decision experiment. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  readonly causeMs: number;
  readonly afterMs: number;
  readonly bounds: readonly Bound[];
  readonly classes: boolean;
  readonly withinRate: boolean;
  /** Index of the bottleneck's target that leaves, with the instant. */
  readonly leaves: {readonly target: number; readonly atMs: number} | null;
  /** Demand of an organisation over its agreed rate. */
  factor(organisation: number, sinceCauseMs: number): number;
  readonly retries: callers.HardRetries | null;
  capacityPart(
    sinceCauseMs: number,
    deployment: deployments.Deployment,
  ): number;
  /** Sets the cause up; times are relative to its start. */
  arrange(
    path: callPath.CallPath,
    at: (sinceCauseMs: number, run: () => void) => void,
  ): void;
}

/** Bounds of design section 1; 4 attempts are 1 plus a budget of 3. */
const GOODPUT: Bound = {measure: 'goodput', kind: 'atLeast', value: 95};
const RECOVERY: Bound = {measure: 'recoveryMs', kind: 'atMost', value: 2_000};
const ORGANISATION: Bound = {
  measure: 'worstOrganisation',
  kind: 'atLeast',
  value: 90,
};
const WITHIN_RATE: Bound = {
  measure: 'refusedWithinRate',
  kind: 'atMost',
  value: 0.1,
};
const NO_DUPLICATES: Bound = {
  measure: 'duplicateRuns',
  kind: 'atMost',
  value: 0,
};
const ATTEMPTS: Bound = {measure: 'mostAttempts', kind: 'atMost', value: 4};
/** I2 names no figure; half a percent is the noise of the random ranks. */
const CLASS_ORDER: Bound = {
  measure: 'classInversion',
  kind: 'atMost',
  value: 0.5,
};
const LEAVING: Bound = {measure: 'lastStartMs', kind: 'atMost', value: 3_000};

const COMMON = [GOODPUT, RECOVERY, ORGANISATION, NO_DUPLICATES, ATTEMPTS];

function scenario(
  name: string,
  summary: string,
  parts: Partial<Scenario>,
): Scenario {
  const bounds = [
    ...COMMON,
    ...(parts.classes === false ? [] : [CLASS_ORDER]),
    ...(parts.withinRate ? [WITHIN_RATE] : []),
    ...(parts.leaves ? [LEAVING] : []),
  ];
  return {
    name,
    summary,
    causeMs: 20_000,
    afterMs: 8_000,
    bounds,
    classes: true,
    withinRate: false,
    leaves: null,
    factor: () => 1,
    retries: null,
    capacityPart: () => 1,
    arrange: () => {},
    ...parts,
  };
}

/** Factor on the agreed rates for a demand in units of the bottleneck. */
function demand(bottlenecks: number, causeMs: number) {
  return (_organisation: number, sinceCauseMs: number) =>
    sinceCauseMs >= 0 && sinceCauseMs < causeMs
      ? bottlenecks / deployments.AGREED_PART
      : 1;
}

function surge(times: number): Scenario {
  return scenario(
    `surge-${times}`,
    `demand ${times} times the bottleneck for 20 s, then back`,
    {factor: demand(times, 20_000)},
  );
}

const SLOW_MS = 30_000;
const REJOIN_MS = 2_000;
const STORM_MS = 10_000;
const DRAIN_AT_MS = 5_000;

/** All targets but one, of the bottleneck. */
function withoutOne(deployment: deployments.Deployment): number {
  const {targets} = deployment.chain[deployment.chain.length - 1];
  return (targets - 1) / targets;
}

export const SCENARIOS: readonly Scenario[] = [
  surge(2),
  surge(5),
  surge(10),
  scenario(
    'slow-service',
    'the deepest service runs at a tenth of its speed for 30 s, then heals',
    {
      causeMs: SLOW_MS,
      capacityPart: sinceMs => (sinceMs >= 0 && sinceMs < SLOW_MS ? 0.1 : 1),
      arrange: (path, at) => {
        const set = (factor: number) => () => {
          for (const target of path.last) target.server.slowFactor = factor;
        };
        at(0, set(10));
        at(SLOW_MS, set(1));
      },
    },
  ),
  scenario(
    'retry-storm',
    'demand 3 times the bottleneck for 10 s; callers repeat up to 8 times',
    {
      causeMs: STORM_MS,
      factor: demand(3, STORM_MS),
      retries: {most: 8, delayMs: 100},
    },
  ),
  scenario(
    'greedy-organisation',
    'the largest organisation at 5 times its rate; another returns after 5 s of silence',
    {
      classes: false,
      withinRate: true,
      factor: (organisation, sinceMs) => {
        if (sinceMs < 0 || sinceMs >= 20_000) return 1;
        if (organisation === 0) return 5;
        return organisation === 2 && sinceMs < 5_000 ? 0 : 1;
      },
    },
  ),
  scenario(
    'cold-start',
    'a target of the bottleneck leaves and is back cold after 2 s, at the agreed demand',
    {
      causeMs: 10_000,
      withinRate: true,
      capacityPart: (sinceMs, deployment) => {
        if (sinceMs < 0) return 1;
        const rest = withoutOne(deployment);
        if (sinceMs < REJOIN_MS) return rest;
        const cold = 1 + 4 * Math.exp(-(sinceMs - REJOIN_MS) / 1_500);
        return rest + (1 - rest) / cold;
      },
      arrange: (path, at) => {
        at(0, () => path.last[0].leave());
        at(REJOIN_MS, () => path.last[0].join());
      },
    },
  ),
  scenario(
    'misleading-load',
    'demand 2 times the bottleneck for 20 s; load reports say idle, full, or 5 s ago',
    {
      factor: demand(2, 20_000),
      arrange: (path, at) =>
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
  scenario(
    'drain-during-surge',
    'demand 5 times the bottleneck for 20 s; one of its targets leaves after 5 s',
    {
      factor: demand(5, 20_000),
      leaves: {target: 0, atMs: DRAIN_AT_MS},
      capacityPart: (sinceMs, deployment) =>
        sinceMs >= DRAIN_AT_MS ? withoutOne(deployment) : 1,
      arrange: (path, at) => at(DRAIN_AT_MS, () => path.last[0].leave()),
    },
  ),
];
