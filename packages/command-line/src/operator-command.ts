import * as declaration from '@camphorwharf/declaration';
import * as clipanion from 'clipanion';

import * as errors from './command-error.js';
import * as exitCodes from './exit-code.js';
import * as output from './output.js';

/**
 * Base class of all commands. Prints results as text or JSON and maps a
 * `CommandError` to its exit code.
 */
export abstract class OperatorCommand extends clipanion.Command {
  json = clipanion.Option.Boolean('--json', false, {
    description: 'Print JSON in place of tables.',
  });

  /**
   * Runs the command and returns its exit code.
   *
   * @throws CommandError when the command fails.
   */
  protected abstract perform(): Promise<exitCodes.ExitCodeValue>;

  override async execute(): Promise<number> {
    try {
      return await this.perform();
    } catch (error) {
      if (!(error instanceof errors.CommandError)) throw error;
      this.#printError(error);
      return error.exitCode;
    }
  }

  /** Prints `data` as JSON with `--json`, otherwise `text`. */
  protected print(data: object, text: string): void {
    this.context.stdout.write(
      this.json ? `${JSON.stringify(data, null, 2)}\n` : text,
    );
  }

  #printError(error: errors.CommandError): void {
    const {exitCode, message, problems} = error;
    const lines = problems.map(problem =>
      output.replaceControlCharacters(declaration.formatProblem(problem)),
    );
    this.context.stderr.write(
      [...lines, output.replaceControlCharacters(message), ''].join('\n'),
    );
    if (this.json) this.print({ok: false, exitCode, message, problems}, '');
  }
}
