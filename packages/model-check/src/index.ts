export {runSearch, runWalks, exhaustiveSearches} from './searches.js';
export type {Search} from './searches.js';
export type {ExploreOptions, ExploreResult} from './explorer.js';
export {MUTATIONS, runSchedule} from './mutations.js';
export type {Mutation} from './mutations.js';
export {PRODUCT_FACTORY} from './settings.js';
export type {ProductFactory} from './settings.js';
export type {WalkResult} from './random-walks.js';
