import type * as snapshots from './snapshot.js';

/** Requests of one route or organisation, by how they ended. */
export interface RequestRow {
  /** Empty for requests without one. */
  readonly name: string;
  /** Whether backend servers made the requests; null for organisations. */
  readonly nested: boolean | null;
  /** Null if only the logs are known. */
  received: number | null;
  inTime: number | null;
  late: number | null;
  refused: number;
  failed: number;
  abandoned: number;
  readonly refusals: Refusal[];
}

export interface Refusal {
  readonly place: string;
  readonly reason: string;
  count: number;
}

/** Slot time at the backend servers of one service. */
export interface ServiceRow {
  readonly service: string;
  usedSeconds: number;
  wastedSeconds: number;
  /** By cause. */
  readonly wasted: Record<string, number>;
}

export interface OverloadReport {
  readonly routes: readonly RequestRow[];
  readonly organisations: readonly RequestRow[];
  readonly services: readonly ServiceRow[];
}

/** Orders the counters by route, organisation and service. */
export function buildReport(snapshot: snapshots.Snapshot): OverloadReport {
  const routes = new Map<string, RequestRow>();
  const organisations = new Map<string, RequestRow>();
  const services = new Map<string, ServiceRow>();
  for (const series of snapshot.values()) {
    const {labels, name, value} = series;
    if (name.startsWith('route_')) {
      const nested = labels.nested === 'true';
      const key = `${nested} ${labels.route}`;
      addRequests(rowOf(routes, key, labels.route ?? '', nested), series);
    } else if (name.startsWith('organisation_')) {
      const organisation = labels.organisation ?? '';
      const row = rowOf(organisations, organisation, organisation, null);
      addRequests(row, series);
    } else {
      addSlotTime(serviceOf(services, labels.service ?? ''), series, value);
    }
  }
  const byRequests = (left: RequestRow, right: RequestRow) =>
    Number(left.nested) - Number(right.nested) ||
    (right.received ?? right.refused) - (left.received ?? left.refused) ||
    (left.name < right.name ? -1 : 1);
  for (const {refusals} of [...routes.values(), ...organisations.values()]) {
    refusals.sort((left, right) => right.count - left.count);
  }
  return {
    routes: [...routes.values()].sort(byRequests),
    organisations: [...organisations.values()].sort(byRequests),
    services: [...services.values()].sort((left, right) =>
      left.service < right.service ? -1 : 1,
    ),
  };
}

/**
 * Marks as unknown what the logs do not contain: they have no lines about
 * requests that were answered.
 */
export function withoutAnswers(report: OverloadReport): OverloadReport {
  const hide = (row: RequestRow) => ({
    ...row,
    received: null,
    inTime: null,
    late: null,
  });
  return {
    routes: report.routes.map(hide),
    organisations: report.organisations.map(hide),
    services: [],
  };
}

function rowOf(
  rows: Map<string, RequestRow>,
  key: string,
  name: string,
  nested: boolean | null,
): RequestRow {
  let row = rows.get(key);
  if (!row) {
    row = {
      name,
      nested,
      received: 0,
      inTime: 0,
      late: 0,
      refused: 0,
      failed: 0,
      abandoned: 0,
      refusals: [],
    };
    rows.set(key, row);
  }
  return row;
}

function addRequests(
  row: RequestRow,
  {labels, name, value}: snapshots.Series,
): void {
  if (name.endsWith('_received_total')) {
    row.received = (row.received ?? 0) + value;
    return;
  }
  const {outcome, place = '', reason = ''} = labels;
  switch (outcome) {
    case 'inTime':
    case 'late':
      row[outcome] = (row[outcome] ?? 0) + value;
      return;
    case 'failed':
    case 'abandoned':
      row[outcome] += value;
      return;
    case 'refused': {
      if (value === 0) return;
      row.refused += value;
      const refusal = row.refusals.find(
        known => known.place === place && known.reason === reason,
      );
      if (refusal) refusal.count += value;
      else row.refusals.push({place, reason, count: value});
      return;
    }
    // An outcome of a later release is part of `received` only.
  }
}

function serviceOf(
  services: Map<string, ServiceRow>,
  service: string,
): ServiceRow {
  let row = services.get(service);
  if (!row) {
    row = {service, usedSeconds: 0, wastedSeconds: 0, wasted: {}};
    services.set(service, row);
  }
  return row;
}

function addSlotTime(
  row: ServiceRow,
  {labels, name}: snapshots.Series,
  seconds: number,
): void {
  if (name === 'slot_seconds_used_total') {
    row.usedSeconds += seconds;
    return;
  }
  const {cause = ''} = labels;
  row.wastedSeconds += seconds;
  row.wasted[cause] = (row.wasted[cause] ?? 0) + seconds;
}
