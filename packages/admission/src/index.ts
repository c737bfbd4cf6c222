export {ColdStartLimit} from './cold-start-limit.js';
export type {ColdStartLimitSettings} from './cold-start-limit.js';
export {OutstandingWork} from './outstanding-work.js';
export type {RunningCall} from './outstanding-work.js';
export {CostAdmission} from './cost-admission.js';
export type {
  CostDecision,
  CostRequest,
  ReportedPressures,
} from './cost-admission.js';
export {DownstreamPressure} from './downstream-pressure.js';
export type * from './interfaces.js';
export {NestedCalls} from './nested-calls.js';
export {PoorOutcomes} from './poor-outcomes.js';
export type {CallQuality, ObservedCall} from './poor-outcomes.js';
export {PressureControl} from './pressure-control.js';
export type {CapacityObservation} from './pressure-control.js';
export {PressureTable} from './pressure-table.js';
export {PriorityMix, refusedShare} from './priority-mix.js';
export type {PriorityShare} from './priority-mix.js';
export {RequestRetryBudget} from './retry-budget.js';
export {AverageRunWork} from './run-work.js';
export type {WorkByRoute} from './run-work.js';
export {
  ServiceCosts,
  composeVector,
  decodeCosts,
  encodeCosts,
} from './service-costs.js';
export type {CostVector} from './service-costs.js';
export {RetryPrecedence, progressAfter} from './retry-precedence.js';
export type {
  RefusedCall,
  RetryTokens,
  RetryVerdict,
  RunProgress,
} from './retry-precedence.js';
export {ServiceRetryRatio} from './retry-ratio.js';
export {passesShareThreshold} from './share-threshold.js';
export type {ShareCall, ShareThreshold} from './share-threshold.js';
export {MAXIMUM_SPEED, MINIMUM_SPEED, RouteWork} from './route-work.js';
export {SlotAdmission} from './slot-admission.js';
export type {
  SlotEvent,
  SlotRefusal,
  SlotRequest,
  SlotVerdict,
} from './slot-admission.js';
export {SuccessAdmission} from './success-admission.js';
export type {
  RequestEnd,
  StartKind,
  SuccessDecision,
  SuccessRequest,
} from './success-admission.js';
export {SustainedLag} from './sustained-lag.js';
export {TargetAdmission} from './target-admission.js';
export {SheddingThresholdTable} from './threshold-table.js';
