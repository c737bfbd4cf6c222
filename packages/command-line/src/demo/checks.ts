import type * as standIns from '@camphorwharf/stand-ins';

/** Result of one check of the demo, with the observed value. */
export interface CheckResult {
  readonly name: string;
  readonly passed: boolean;
  readonly seen: string;
}

/**
 * Checks the reports of all backend servers: each idempotency key runs at most
 * once, and no API key reaches a backend server.
 */
export function checkBackendServers(
  reports: readonly standIns.BackendServerReport[],
): CheckResult[] {
  const runsPerKey = new Map<string, number>();
  for (const report of reports) {
    for (const [key, count] of Object.entries(report.runsPerIdempotencyKey)) {
      runsPerKey.set(key, (runsPerKey.get(key) ?? 0) + count);
    }
  }
  const duplicates = [...runsPerKey.values()].filter(count => count > 1).length;
  const reportsWithKey = reports.filter(
    report => report.sawAuthorization,
  ).length;
  return [
    {
      name: 'each idempotency key ran at most once',
      passed: duplicates === 0,
      seen: `${duplicates} duplicates among ${runsPerKey.size} keys`,
    },
    {
      name: 'no backend server saw a key',
      passed: reportsWithKey === 0,
      seen: `${reportsWithKey} of ${reports.length} saw one`,
    },
  ];
}

/** Checks that no request ran whose caller was told that it did not run. */
export function checkFalseRefusals(
  refusedKeys: ReadonlySet<string>,
  reports: readonly standIns.BackendServerReport[],
): CheckResult {
  let executedCount = 0;
  for (const report of reports) {
    for (const key of Object.keys(report.runsPerIdempotencyKey)) {
      if (refusedKeys.has(key)) executedCount++;
    }
  }
  return {
    name: 'no request that was refused as not run did run',
    passed: executedCount === 0,
    seen: `${executedCount} of ${refusedKeys.size} refused keys ran`,
  };
}
