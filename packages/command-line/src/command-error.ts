import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

import * as exitCodes from './exit-code.js';

/**
 * A failure of a command. `OperatorCommand` prints the message, which states
 * the cause and the remedy, and returns `exitCode`. Use `commandError` to
 * create an instance.
 */
export const CommandError = runtime.BaseError.subclass('CommandError', {
  props: {
    exitCode: exitCodes.ExitCode.refused as exitCodes.ExitCodeValue,
    /** Problems found in an input file; empty for other failures. */
    problems: [] as readonly declaration.Problem[],
  },
});
export type CommandError = InstanceType<typeof CommandError>;

/** @param message States the cause and the remedy. */
export function commandError(
  exitCode: exitCodes.ExitCodeValue,
  message: string,
  problems: readonly declaration.Problem[] = [],
): CommandError {
  return new CommandError(message, {props: {exitCode, problems}});
}
