import * as output from '../output.js';
import type * as scenarios from './scenario.js';

/** Renders the phases and checks of a demo run as tables. */
export function renderReport(report: scenarios.DemoReport): string {
  const phases = output.formatTable([
    ['phase', 'offered/s', 'completed/s', 'p50 ms', 'p99 ms', 'other outcomes'],
    ...report.phases.map(phase => [
      phase.name,
      phase.offeredPerSecond.toFixed(0),
      phase.completedPerSecond.toFixed(0),
      phase.p50Ms.toFixed(1),
      phase.p99Ms.toFixed(1),
      otherOutcomes(phase.outcomes),
    ]),
  ]);
  const measures = output.formatTable([
    [
      'phase',
      'completed',
      'worst organisation',
      'of the mean',
      'refused within rate',
    ],
    ...report.measures.map(measure => [
      measure.phase,
      percent(measure.completedPart),
      measure.worstOrganisation,
      percent(measure.worstOrganisationPart),
      percent(measure.refusedWithinRate),
    ]),
  ]);
  const checks = output.formatTable([
    ['check', 'verdict', 'seen'],
    ...report.checks.map(check => [
      check.name,
      check.passed ? 'passed' : 'FAILED',
      check.seen,
    ]),
  ]);
  return `deployment ${report.deployment}, seed ${report.seed}\n\n${phases}\n${measures}\n${checks}`;
}

function percent(part: number): string {
  return `${(100 * part).toFixed(2)}%`;
}

function otherOutcomes(outcomes: Readonly<Record<string, number>>): string {
  return Object.entries(outcomes)
    .filter(([name]) => name !== 'completed')
    .sort(([, left], [, right]) => right - left)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}
