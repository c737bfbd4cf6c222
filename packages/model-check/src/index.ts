export {runSearch, runWalks, searches} from './check.js';
export type {Search} from './check.js';
export type {ExploreOptions, ExploreResult} from './explorer.js';
export {MUTATIONS, runSchedule} from './mutations.js';
export type {Mutation} from './mutations.js';
export {PRODUCT} from './settings.js';
export type {Factory} from './settings.js';
export type {WalkResult} from './walks.js';
