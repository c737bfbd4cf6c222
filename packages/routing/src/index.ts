export {BackendServerDirectory} from './backend-server-directory.js';
export type {
  BackendServer,
  BackendServerPhase,
} from './backend-server-directory.js';
export {ColdCapacity} from './cold-capacity.js';
export type {ColdCapacityOptions} from './cold-capacity.js';
export {ConfigurationIndex} from './configuration-index.js';
export type {KeyVerdict} from './configuration-index.js';
export type * from './fleet-configuration.js';
export {organisationsOf} from './key-policy.js';
export {ServerSpeed} from './server-speed.js';
export {TargetBalancer} from './target-balancer.js';
export {CandidateExclusion, TargetPreview} from './target-preview.js';
export type {
  CandidateExclusionName,
  CandidatePreview,
} from './target-preview.js';
export type {RequestWork, TargetOutcome} from './target-state.js';
export {WeightedSplit} from './weighted-split.js';
