import * as measures from './measures.js';
import type * as runExperiment from './run-experiment.js';

/** Renders a report as a Markdown table with one column per control. */
export function renderTable(report: runExperiment.ExperimentReport): string {
  const names = Object.keys(measures.MEASURES) as measures.MeasureName[];
  const rows = names
    .filter(name =>
      report.controls.some(control => control.measures[name] !== null),
    )
    .map(name => [
      measures.MEASURES[name].label,
      ...report.controls.map(control =>
        formatValue(name, control.measures[name]),
      ),
      formatBound(report, name),
    ]);
  const header = [
    'measure',
    ...report.controls.map(control => control.control),
    'bound',
  ];
  const table = [header, header.map(() => '---'), ...rows];
  const widths = header.map((_, column) =>
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

function formatValue(name: measures.MeasureName, value: number | null): string {
  if (value === null) return '-';
  const {unit} = measures.MEASURES[name];
  const digits = unit === '%' ? 2 : unit === 'ms' || value % 1 === 0 ? 0 : 3;
  return `${value.toFixed(digits)}${unit === '' ? '' : ` ${unit}`}`;
}

function formatBound(
  report: runExperiment.ExperimentReport,
  name: measures.MeasureName,
): string {
  const check = report.checks.find(entry => entry.measure === name);
  if (!check) return '';
  const {unit} = measures.MEASURES[name];
  const sign = check.kind === 'atLeast' ? '>=' : '<=';
  const verdict = check.passed ? 'met' : 'MISSED';
  return `${sign} ${check.value}${unit === '' ? '' : ` ${unit}`}: ${verdict}`;
}
