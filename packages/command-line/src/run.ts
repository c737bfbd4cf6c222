import * as clipanion from 'clipanion';

import * as commands from './commands/index.js';
import * as exitCodes from './exit-code.js';

const VERSION = '0.1.0';

/**
 * Parses the arguments and runs one command.
 *
 * @param args The arguments after the name of the binary.
 * @param context Overrides the standard streams of the process in tests.
 * @returns The exit code.
 */
export async function run(
  args: readonly string[],
  context: Partial<clipanion.BaseContext> = {},
): Promise<number> {
  const cli = new clipanion.Cli({
    binaryLabel: 'camphorwharf',
    binaryName: 'camphorwharf',
    binaryVersion: VERSION,
    enableColors: false,
  });
  cli.register(clipanion.Builtins.HelpCommand);
  cli.register(clipanion.Builtins.VersionCommand);
  for (const command of commands.COMMANDS) cli.register(command);
  const completeContext = {...clipanion.Cli.defaultContext, ...context};
  let command: clipanion.Command;
  try {
    command = cli.process([...args], completeContext);
  } catch (error) {
    // Cli.run() would return 1, the exit code for invalid input.
    completeContext.stderr.write(cli.error(error));
    return exitCodes.ExitCode.usage;
  }
  return await cli.run(command, completeContext);
}
