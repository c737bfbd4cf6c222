import type * as standIns from '@camphorwharf/stand-ins';

/** One promise that the demo has tested, and what was seen. */
export interface DemoCheck {
  readonly name: string;
  readonly passed: boolean;
  readonly seen: string;
}

/** Sums what the backend servers saw into checks of the invariants. */
export function checkBackendServers(
  reports: readonly standIns.BackendServerReport[],
): DemoCheck[] {
  const runs = new Map<string, number>();
  for (const report of reports) {
    for (const [key, count] of Object.entries(report.runsPerIdempotencyKey)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  const duplicates = [...runs.values()].filter(count => count > 1).length;
  const sawKey = reports.filter(report => report.sawAuthorization).length;
  return [
    {
      name: 'each idempotency key ran at most once',
      passed: duplicates === 0,
      seen: `${duplicates} duplicates among ${runs.size} keys`,
    },
    {
      name: 'no backend server saw a key',
      passed: sawKey === 0,
      seen: `${sawKey} of ${reports.length} saw one`,
    },
  ];
}

/** Idempotency keys that callers were told did not run, yet ran. */
export function falseRefusals(
  refusedKeys: ReadonlySet<string>,
  reports: readonly standIns.BackendServerReport[],
): DemoCheck {
  let count = 0;
  for (const report of reports) {
    for (const key of Object.keys(report.runsPerIdempotencyKey)) {
      if (refusedKeys.has(key)) count++;
    }
  }
  return {
    name: 'no request that was refused as not run did run',
    passed: count === 0,
    seen: `${count} of ${refusedKeys.size} refused keys ran`,
  };
}
