export {DEFAULT_CLIENT_LIMITS} from './client-limits.js';
export type {ClientLimits} from './client-limits.js';
export type {HttpBinding} from './http-binding.js';
export {HostDaemon} from './host-daemon.js';
export type {
  Endpoint,
  HostDaemonOptions,
  HostDaemonSettings,
} from './host-daemon-options.js';
export {READER_WATCH_MS} from './platform-reading.js';
export type {ReadModeName} from './platform-reading.js';
export {ERA_LIMIT} from './published-state.js';
export type {
  ItemChange,
  PublishedSubject,
  StateDecoder,
  StateListener,
  StateReader,
} from './published-state.js';
