export {FleetMembers} from './fleet-members.js';
export {FleetRateLimits} from './fleet-rate-limits.js';
export type {
  LimitPreview,
  LimitSettings,
  LimitVerdict,
} from './fleet-rate-limits.js';
export {FleetRetryBudget} from './fleet-retry-budget.js';
export type {RetryBudgetSettings} from './fleet-retry-budget.js';
export {SharedBucket} from './shared-bucket.js';
export type {UseReport, UsesReport} from './use-report.js';
