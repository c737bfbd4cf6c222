import * as clipanion from 'clipanion';

import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import * as sourceFiles from '../source-file.js';

export class CheckCommand extends operatorCommand.OperatorCommand {
  static override paths = [['check']];
  static override usage = clipanion.Command.Usage({
    description: 'Check a declaration or a published document.',
    details: `
      Lists every problem with its file, line, field and remedy. A file whose
      name ends in .json is read as a published document.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Check a declaration', '$0 check examples/teranga/declaration.toml'],
    ],
  });

  file = clipanion.Option.String();

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const {content} = sourceFiles.readSourceFile(this.file);
    const totalRatePerSecond = content.organisations.reduce(
      (sum, organisation) => sum + organisation.ratePerSecond,
      0,
    );
    const counts = {
      regions: content.regions.length,
      services: content.services.length,
      routes: content.routes.length,
      organisations: content.organisations.length,
      policies: content.policies.length,
    };
    this.print(
      {ok: true, file: this.file, ...counts, totalRatePerSecond},
      `${this.file}: valid\n` +
        output.formatTable([
          ...Object.entries(counts),
          ['total rate', `${totalRatePerSecond} tokens/s`],
        ]),
    );
    return exitCodes.ExitCode.ok;
  }
}
