import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

import * as exitCodes from './exit-code.js';

/**
 * Ends a command: the base command prints the message, which names the cause
 * and the remedy, and exits with the code. Create it with `commandError`.
 */
export const CommandError = runtime.BaseError.subclass('CommandError', {
  props: {
    exitCode: exitCodes.ExitCode.refused as exitCodes.ExitCodeValue,
    /** Problems of an input file; empty when the message says it all. */
    problems: [] as readonly declaration.Problem[],
  },
});
export type CommandError = InstanceType<typeof CommandError>;

/** @param message Names the cause and the remedy. */
export function commandError(
  exitCode: exitCodes.ExitCodeValue,
  message: string,
  problems: readonly declaration.Problem[] = [],
): CommandError {
  return new CommandError(message, {props: {exitCode, problems}});
}
