import test from 'ava';
import * as retryBudget from '../fleet-retry-budget.js';

const SETTINGS = {ratio: 0.2, slack: 48, windowMs: 10_000};
const HOSTS = 14;

/** Guards against retries that accumulate over hosts and hops. */
const STORMS: ReadonlyArray<readonly [string, number]> = [
  ['a busy service', 20],
  ['a service with few calls', 1],
];
for (const [name, callsPerSecond] of STORMS) {
  test(`retries stay within the budget when every call fails: ${name}`, t => {
    const budgets = Array.from(
      {length: HOSTS},
      () => new retryBudget.FleetRetryBudget(SETTINGS, () => HOSTS, 0),
    );
    let attempts = 0;
    let retries = 0;
    for (let nowMs = 0; nowMs < SETTINGS.windowMs; nowMs += 50) {
      for (const budget of budgets) {
        const calls = (callsPerSecond * 50) / 1_000;
        const callCount =
          Math.floor((nowMs / 50 + 1) * calls) -
          Math.floor((nowMs / 50) * calls);
        for (let call = 0; call < callCount; call++) {
          attempts++;
          budget.noteFirstAttempt(nowMs);
          if (budget.tryFailureRetry(nowMs)) retries++;
          if (budget.tryRefusalRetry(nowMs)) retries++;
        }
      }
    }
    // The retries of upstream hops add up in a chain, so a hop must not use the
    // whole budget.
    t.true(retries <= 0.7 * SETTINGS.ratio * attempts + 0.8 * SETTINGS.slack);
    t.true(retries > 0);
  });
}
