import * as runtime from '@camphorwharf/runtime';
import * as callPath from './call-path.js';
import * as callers from './callers.js';
import * as deployments from './deployments.js';
import * as measures from './measures.js';
import * as overloadControl from './overload-control.js';
import * as scenarios from './scenarios.js';
import * as virtualTime from './virtual-time.js';

/** Time of normal load before the cause, in which the limits adapt. */
const WARM_UP_MS = 5_000;

export interface ExperimentOptions {
  readonly seed: number;
  /** A name in `DEPLOYMENTS`; `teranga` when absent. */
  readonly deployment?: string;
  /** Called with the share of the work that is done, in [0, 1]. */
  readonly onProgress?: (share: number) => void;
  /** Overload controls to run; all when absent. */
  readonly controls?: readonly overloadControl.OverloadControl[];
}

/** Result of an experiment under one overload control. */
export interface ControlReport {
  readonly control: overloadControl.OverloadControl;
  readonly measures: measures.Measures;
  readonly series: readonly measures.SeriesPoint[];
}

/** A bound and the value that the product reached. */
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

/** All experiments, with a one-line summary of each. */
export const EXPERIMENTS: ReadonlyArray<{
  readonly name: string;
  readonly summary: string;
}> = scenarios.SCENARIOS.map(({name, summary}) => ({name, summary}));

/**
 * Runs an experiment in virtual time. The report depends only on the name and
 * the options. Throws a RangeError for an unknown experiment or deployment.
 */
export function runExperiment(
  name: string,
  options: ExperimentOptions,
): ExperimentReport {
  const scenario = scenarios.SCENARIOS.find(entry => entry.name === name);
  if (!scenario) {
    const known = scenarios.SCENARIOS.map(entry => entry.name).join(', ');
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
  const controls = options.controls ?? overloadControl.CONTROLS;
  const reports = controls.map((control, index) =>
    runControl(scenario, deployment, control, options.seed, share =>
      options.onProgress?.((index + share) / controls.length),
    ),
  );
  const productReport = reports.find(
    report => report.control === 'camphorwharf',
  );
  const checks = productReport
    ? scenario.bounds.map(bound => checkBound(bound, productReport))
    : [];
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
    passed: checks.every(checked => checked.passed),
  };
}

function checkBound(
  bound: scenarios.Bound,
  productReport: ControlReport,
): BoundCheck {
  const measured = productReport.measures[bound.measure];
  if (measured === null) {
    throw new Error(
      `The experiment has a bound on "${bound.measure}" but does not measure it.`,
    );
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
  control: overloadControl.OverloadControl,
  seed: number,
  onProgress: (part: number) => void,
): ControlReport {
  const time = new virtualTime.VirtualTime();
  // Arrivals have their own random source and are the same for every control.
  const path = new callPath.CallPath(
    deployment,
    control,
    time,
    new runtime.SeededRandom(seed),
  );
  const arrivalRandom = new runtime.SeededRandom(seed + 1_000_003);
  const causeEndMs = WARM_UP_MS + scenario.causeMs;
  const endMs = causeEndMs + scenario.recoveryMs;
  const {organisations} = deployment.document;
  const compliantOrganisations = organisations.filter(
    (_, index) => scenario.demandFactor(index, scenario.causeMs / 2) <= 1,
  );
  const recorder = new measures.MeasureRecorder(
    path,
    {
      causeStartMs: WARM_UP_MS,
      causeEndMs,
      endMs,
      capacityShare: sinceMs => scenario.capacityShare(sinceMs, deployment),
    },
    new Set(compliantOrganisations.map(organisation => organisation.name)),
  );
  const workload: callers.Workload = {
    importance: scenario.mixedImportance ? null : 2,
    retries: scenario.clientRetries,
    ratePerSecond: (organisation, nowMs) => {
      const index = organisations.indexOf(organisation);
      const factor = scenario.demandFactor(index, nowMs - WARM_UP_MS);
      return organisation.ratePerSecond * factor;
    },
  };
  new callers.Callers(path, arrivalRandom, workload, (call, outcome) =>
    recorder.record(call, outcome),
  ).start();
  scenario.injectCause(path, (sinceCauseMs, run) =>
    time.after(WARM_UP_MS + sinceCauseMs, run),
  );
  for (let atMs = 1_000; atMs <= endMs; atMs += 1_000) {
    time.runUntil(atMs);
    onProgress(atMs / endMs);
  }
  const departure = scenario.departure;
  return {
    control,
    measures: recorder.measures({
      withinRate: scenario.measuresWithinRate,
      classes: scenario.mixedImportance,
      leaving: departure ? path.bottleneck[departure.target] : null,
      leftMs: WARM_UP_MS + (departure?.atMs ?? 0),
    }),
    series: recorder.series,
  };
}
