export {DEFAULT_POLICY} from './document.js';
export type {
  EffectivePolicy,
  Labels,
  Organisation,
  Policy,
  PolicySettings,
  PublishedDocument,
  Region,
  Route,
  Selector,
  Service,
} from './document.js';
export {HostState} from './host-list.js';
export type {HostEntry, HostList, HostStateName} from './host-list.js';
