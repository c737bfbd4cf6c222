import test from 'ava';
import * as fc from 'fast-check';
import * as admission from '../index.js';

test('attempts over a call tree never exceed 1 plus the budget', t => {
  // Guards against retries that multiply with depth or fan-out (I1).
  fc.assert(
    fc.property(
      fc.integer({min: 0, max: 6}),
      fc.array(fc.integer({min: 0, max: 3}), {maxLength: 60}),
      (retries, choices) => {
        let spent = 0;
        let next = 0;
        const visit = (budget: admission.RetryBudget, depth: number) => {
          const children: admission.RequestRetryBudget[] = [];
          for (let step = 0; step < 4; step++) {
            const choice = choices[next++] ?? 0;
            if (choice === 1 && budget.trySpend()) spent++;
            if (choice >= 2 && depth < 14) {
              const share = budget.lendShare();
              children.push(new admission.RequestRetryBudget(share));
            }
          }
          for (const child of children) {
            visit(child, depth + 1);
            // A lost response returns nothing; a faulty one returns too much.
            const choice = choices[next++] ?? 0;
            if (choice === 1) budget.returnUnspent(child.remaining);
            if (choice === 2) budget.returnUnspent(-5);
          }
        };
        visit(new admission.RequestRetryBudget(retries), 1);
        return spent <= retries;
      },
    ),
    {seed: 1, numRuns: 500},
  );
  t.pass();
});

test('a child cannot return more than it was lent', t => {
  const budget = new admission.RequestRetryBudget(3);
  const share = budget.lendShare();
  budget.returnUnspent(share + 100);
  t.is(budget.remaining, 3);
  budget.returnUnspent(1);
  t.is(budget.remaining, 3, 'a second response returns nothing');
});

test('the last retry reaches the end of a chain 14 deep', t => {
  // Guards against shares that round down to 0 below the entry hop.
  let budget = new admission.RequestRetryBudget(3);
  for (let depth = 1; depth <= 14; depth++) {
    budget = new admission.RequestRetryBudget(budget.lendShare());
  }
  t.true(budget.trySpend());
});

const ratioCases = [
  {ratio: 0.1, attempts: 1_000, spacingMs: 1, most: 102, least: 90},
  {ratio: 0.1, attempts: 10_000, spacingMs: 1, most: 1_006, least: 990},
  {ratio: 0, attempts: 1_000, spacingMs: 1, most: 0, least: 0},
];
for (const {ratio, attempts, spacingMs, most, least} of ratioCases) {
  test(`ratio ${ratio} over ${attempts} attempts caps retries`, t => {
    const limit = new admission.ServiceRetryRatio(ratio);
    let retries = 0;
    for (let index = 0; index < attempts; index++) {
      limit.noteFirstAttempt(index * spacingMs);
      while (limit.tryRetry(index * spacingMs)) retries++;
    }
    t.true(retries >= least && retries <= most, `${retries} retries`);
  });
}

test('a service without traffic has a retry 2 s after using all', t => {
  // Guards against overload state that outlasts its cause (design section 4.3).
  const limit = new admission.ServiceRetryRatio(0.1);
  while (limit.tryRetry(0));
  t.false(limit.tryRetry(500));
  t.true(limit.tryRetry(2_000));
});
