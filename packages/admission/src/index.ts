export type * from './interfaces.js';
export {RequestRetryBudget} from './retry-budget.js';
export {ServiceRetryRatio} from './retry-ratio.js';
export {passesShareThreshold} from './share-threshold.js';
export type {ShareCall, ShareThreshold} from './share-threshold.js';
export {TargetAdmission} from './target-admission.js';
export {Thresholds} from './threshold-table.js';
