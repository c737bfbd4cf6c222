import * as runtime from '@camphorwharf/runtime';
import * as callPath from './call-path.js';
import * as callers from './callers.js';
import * as deployments from './deployments.js';
import * as measures from './measures.js';
import * as scenarios from './scenarios.js';
import * as virtualTime from './virtual-time.js';

/** Normal load before the cause, in which the limits are learned. */
const WARM_UP_MS = 5_000;

export interface ExperimentOptions {
  readonly seed: number;
  /** A name in `DEPLOYMENTS`; `teranga` when absent. */
  readonly deployment?: string;
  /** Takes the part of the work that is done, in [0, 1]. */
  readonly onProgress?: (part: number) => void;
  /** The controls to run; all when absent. */
  readonly controls?: readonly callPath.Control[];
}

/** The result of one control in an experiment. */
export interface ControlReport {
  readonly control: callPath.Control;
  readonly measures: measures.Measures;
  readonly series: readonly measures.SeriesPoint[];
}

/** A bound of the page and what the product's control reached. */
export interface BoundCheck extends scenarios.Bound {
  readonly measured: number;
  readonly passed: boolean;
}

export interface ExperimentReport {
  readonly name: string;
  readonly summary: string;
  readonly seed: number;
  readonly deployment: string;
  readonly bottleneckPerSecond: number;
  readonly causeStartMs: number;
  readonly causeEndMs: number;
  readonly controls: readonly ControlReport[];
  readonly checks: readonly BoundCheck[];
  readonly passed: boolean;
}

/** Names and summaries of all experiments. */
export const EXPERIMENTS: ReadonlyArray<{
  readonly name: string;
  readonly summary: string;
}> = scenarios.SCENARIOS.map(({name, summary}) => ({name, summary}));

/**
 * Runs one experiment under virtual time; the same seed gives the same
 * report. Throws a RangeError for an unknown experiment or deployment.
 */
export function runExperiment(
  name: string,
  options: ExperimentOptions,
): ExperimentReport {
  const scenario = scenarios.SCENARIOS.find(one => one.name === name);
  if (!scenario) {
    const known = scenarios.SCENARIOS.map(one => one.name).join(', ');
    throw new RangeError(`Unknown experiment "${name}"; use one of: ${known}.`);
  }
  const deploymentName = options.deployment ?? 'teranga';
  if (!Object.hasOwn(deployments.DEPLOYMENTS, deploymentName)) {
    const known = Object.keys(deployments.DEPLOYMENTS).join(', ');
    throw new RangeError(
      `Unknown deployment "${deploymentName}"; use one of: ${known}.`,
    );
  }
  const deployment = deployments.DEPLOYMENTS[deploymentName];
  const controls = options.controls ?? callPath.CONTROLS;
  const reports = controls.map((control, index) =>
    runControl(scenario, deployment, control, options.seed, part =>
      options.onProgress?.((index + part) / controls.length),
    ),
  );
  const own = reports.find(report => report.control === 'camphorwharf');
  const checks = own ? scenario.bounds.map(bound => check(bound, own)) : [];
  return {
    name,
    summary: scenario.summary,
    seed: options.seed,
    deployment: deploymentName,
    bottleneckPerSecond: deployments.bottleneckPerSecond(deployment),
    causeStartMs: WARM_UP_MS,
    causeEndMs: WARM_UP_MS + scenario.causeMs,
    controls: reports,
    checks,
    passed: checks.every(one => one.passed),
  };
}

function check(bound: scenarios.Bound, own: ControlReport): BoundCheck {
  const measured = own.measures[bound.measure];
  if (measured === null) {
    throw new Error(`bound on ${bound.measure}, which is not measured`);
  }
  const passed =
    bound.kind === 'atLeast'
      ? measured >= bound.value
      : measured <= bound.value;
  return {...bound, measured, passed};
}

function runControl(
  scenario: scenarios.Scenario,
  deployment: deployments.Deployment,
  control: callPath.Control,
  seed: number,
  onProgress: (part: number) => void,
): ControlReport {
  const time = new virtualTime.VirtualTime();
  // Separate sources, so that every control meets the same arrivals.
  const path = new callPath.CallPath(
    deployment,
    control,
    time,
    new runtime.SeededRandom(seed),
  );
  const arrivals = new runtime.SeededRandom(seed + 1_000_003);
  const causeEndMs = WARM_UP_MS + scenario.causeMs;
  const endMs = causeEndMs + scenario.afterMs;
  const {organisations} = deployment.document;
  const modest = organisations.filter(
    (_, index) => scenario.factor(index, scenario.causeMs / 2) <= 1,
  );
  const recorder = new measures.Recorder(
    path,
    {
      causeStartMs: WARM_UP_MS,
      causeEndMs,
      endMs,
      capacityPart: sinceMs => scenario.capacityPart(sinceMs, deployment),
    },
    new Set(modest.map(organisation => organisation.name)),
  );
  const load: callers.Load = {
    importance: scenario.classes ? null : 2,
    retries: scenario.retries,
    rate: (organisation, nowMs) => {
      const index = organisations.indexOf(organisation);
      const factor = scenario.factor(index, nowMs - WARM_UP_MS);
      return organisation.ratePerSecond * factor;
    },
  };
  new callers.Callers(path, arrivals, load, (call, ending) =>
    recorder.record(call, ending),
  ).start();
  scenario.arrange(path, (sinceCauseMs, run) =>
    time.after(WARM_UP_MS + sinceCauseMs, run),
  );
  for (let atMs = 1_000; atMs <= endMs; atMs += 1_000) {
    time.runUntil(atMs);
    onProgress(atMs / endMs);
  }
  const leaves = scenario.leaves;
  return {
    control,
    measures: recorder.measures({
      withinRate: scenario.withinRate,
      classes: scenario.classes,
      leaving: leaves ? path.last[leaves.target] : null,
      leftMs: WARM_UP_MS + (leaves?.atMs ?? 0),
    }),
    series: recorder.series,
  };
}
