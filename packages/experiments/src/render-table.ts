import * as measures from './measures.js';
import type * as runExperiment from './run-experiment.js';

/** Renders a report as a Markdown table, one column for each control. */
export function renderTable(report: runExperiment.ExperimentReport): string {
  const names = Object.keys(measures.MEASURES) as measures.MeasureName[];
  const rows = names
    .filter(name =>
      report.controls.some(control => control.measures[name] !== null),
    )
    .map(name => [
      measures.MEASURES[name].label,
      ...report.controls.map(control => format(name, control.measures[name])),
      boundText(report, name),
    ]);
  const head = [
    'measure',
    ...report.controls.map(control => control.control),
    'bound',
  ];
  const table = [head, head.map(() => '---'), ...rows];
  const widths = head.map((_, column) =>
    Math.max(...table.map(row => row[column].length)),
  );
  const lines = table.map(row => {
    const cells = row.map((cell, column) =>
      cell === '---' ? '-'.repeat(widths[column]) : cell.padEnd(widths[column]),
    );
    return `| ${cells.join(' | ')} |`;
  });
  const title =
    `${report.name} (${report.deployment}, seed ${report.seed}, ` +
    `bottleneck ${report.bottleneckPerSecond}/s): ${report.summary}`;
  return `${title}\n\n${lines.join('\n')}\n`;
}

function format(name: measures.MeasureName, value: number | null): string {
  if (value === null) return '-';
  const {unit} = measures.MEASURES[name];
  const digits = unit === '%' ? 2 : unit === 'ms' || value % 1 === 0 ? 0 : 3;
  return `${value.toFixed(digits)}${unit === '' ? '' : ` ${unit}`}`;
}

function boundText(
  report: runExperiment.ExperimentReport,
  name: measures.MeasureName,
): string {
  const check = report.checks.find(one => one.measure === name);
  if (!check) return '';
  const {unit} = measures.MEASURES[name];
  const sign = check.kind === 'atLeast' ? '>=' : '<=';
  const verdict = check.passed ? 'met' : 'MISSED';
  return `${sign} ${check.value}${unit === '' ? '' : ` ${unit}`}: ${verdict}`;
}
