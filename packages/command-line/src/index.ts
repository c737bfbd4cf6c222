export {CommandError, commandError} from './command-error.js';
export {COMMANDS} from './commands/index.js';
export type {DaemonStatus} from './daemon-status.js';
export {EXIT_CODE_HELP, ExitCode} from './exit-code.js';
export type {ExitCodeValue} from './exit-code.js';
export {OperatorCommand} from './operator-command.js';
export {run} from './run.js';
