import * as output from '../output.js';
import type * as overloadReport from './overload-report.js';

/** Formats a report as tables. */
export function formatReport(report: overloadReport.OverloadReport): string {
  const {organisations, routes, services} = report;
  return [
    section('Requests by route', requestTable('route', routes)),
    section('Refused by route', refusalTable('route', routes)),
    section(
      'Requests of clients by organisation',
      requestTable('organisation', organisations),
    ),
    section(
      'Refused by organisation',
      refusalTable('organisation', organisations),
    ),
    ...(services.length === 0
      ? []
      : [section('Slot time by service, in seconds', serviceTable(services))]),
  ].join('\n');
}

function section(title: string, table: string): string {
  return `${title}\n${table}`;
}

function requestTable(
  title: string,
  rows: readonly overloadReport.RequestRow[],
): string {
  return output.formatTable([
    [
      title,
      'received',
      'in time',
      '%',
      'late',
      'refused',
      'failed',
      'abandoned',
    ],
    ...rows.map(row => [
      label(row),
      row.received,
      row.inTime,
      percentage(row.inTime, endedRequests(row)),
      row.late,
      row.refused,
      row.failed,
      row.abandoned,
    ]),
  ]);
}

function refusalTable(
  title: string,
  rows: readonly overloadReport.RequestRow[],
): string {
  return output.formatTable([
    [title, 'place', 'reason', 'requests'],
    ...rows.flatMap(row =>
      row.refusals.map(({place, reason, count}) => [
        label(row),
        place || null,
        reason || null,
        count,
      ]),
    ),
  ]);
}

function serviceTable(rows: readonly overloadReport.ServiceRow[]): string {
  return output.formatTable([
    ['service', 'used', 'wasted', '%', 'failed', 'late', 'no reader'],
    ...rows.map(row => [
      row.service,
      row.usedSeconds.toFixed(1),
      row.wastedSeconds.toFixed(1),
      percentage(row.wastedSeconds, row.usedSeconds),
      ...['failed', 'late', 'noReader'].map(cause =>
        (row.wasted[cause] ?? 0).toFixed(1),
      ),
    ]),
  ]);
}

/**
 * Requests that began before a sampling may end in it, so that those received
 * can be fewer.
 */
function endedRequests(row: overloadReport.RequestRow): number {
  const {abandoned, failed, inTime, late, refused} = row;
  return (inTime ?? 0) + (late ?? 0) + refused + failed + abandoned;
}

function label({name, nested}: overloadReport.RequestRow): string {
  return `${name || '(none)'}${nested ? ' (nested)' : ''}`;
}

function percentage(part: number | null, whole: number | null): string | null {
  if (part === null || whole === null || whole === 0) return null;
  return ((100 * part) / whole).toFixed(1);
}
