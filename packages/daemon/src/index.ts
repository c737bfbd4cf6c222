export {Daemon} from './daemon.js';
export type {DaemonEnvironment} from './daemon-components.js';
export type {DaemonStatus} from './daemon-status.js';
export {parseSettings} from './settings.js';
export type {Settings} from './settings.js';
