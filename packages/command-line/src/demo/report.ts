import * as output from '../output.js';
import type * as checks from './checks.js';
import type * as observations from './observations.js';
import type * as phaseMetrics from './phase-metrics.js';

export interface DemoReport {
  readonly deployment: string;
  readonly seed: number;
  readonly phases: readonly phaseMetrics.PhaseResult[];
  readonly checks: readonly checks.CheckResult[];
  readonly measures: readonly phaseMetrics.PhaseMetrics[];
  readonly observations: observations.Observations;
}

/** Formats the phases, metrics and checks of a demo run as tables. */
export function renderReport(report: DemoReport): string {
  const phaseTable = output.formatTable([
    ['phase', 'offered/s', 'completed/s', 'p50 ms', 'p99 ms', 'other outcomes'],
    ...report.phases.map(phase => [
      phase.name,
      phase.offeredPerSecond.toFixed(0),
      phase.completedPerSecond.toFixed(0),
      phase.p50Ms.toFixed(1),
      phase.p99Ms.toFixed(1),
      formatOtherOutcomes(phase.outcomes),
    ]),
  ]);
  const metricsTable = output.formatTable([
    [
      'phase',
      'completed',
      'worst organisation',
      'relative to overall',
      'refused within rate',
    ],
    ...report.measures.map(metrics => [
      metrics.phase,
      formatPercent(metrics.completedPart),
      metrics.worstOrganisation,
      formatPercent(metrics.worstOrganisationPart),
      formatPercent(metrics.refusedWithinRate),
    ]),
  ]);
  const checkTable = output.formatTable([
    ['check', 'verdict', 'seen'],
    ...report.checks.map(check => [
      check.name,
      check.passed ? 'passed' : 'FAILED',
      check.seen,
    ]),
  ]);
  return `deployment ${report.deployment}, seed ${report.seed}\n\n${phaseTable}\n${metricsTable}\n${checkTable}`;
}

function formatPercent(share: number): string {
  return `${(100 * share).toFixed(2)}%`;
}

function formatOtherOutcomes(
  outcomes: Readonly<Record<string, number>>,
): string {
  return Object.entries(outcomes)
    .filter(([name]) => name !== 'completed')
    .sort(([, left], [, right]) => right - left)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}
