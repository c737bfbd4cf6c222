import * as declaration from '@camphorwharf/declaration';
import * as clipanion from 'clipanion';

import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import * as sourceFiles from '../source-file.js';

export class DiffCommand extends operatorCommand.OperatorCommand {
  static override paths = [['diff']];
  static override usage = clipanion.Command.Usage({
    description: 'Show what a new declaration or document changes.',
    details: `
      Compares the content of two files. Revisions are compared when both are
      published documents (.json). A change that must not be published, such as
      a new number of cells of a region, gives exit code 1.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      [
        'Compare with the published document',
        '$0 diff published.json new.toml',
      ],
    ],
  });

  before = clipanion.Option.String();
  after = clipanion.Option.String();

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const before = sourceFiles.readSourceFile(this.before);
    const after = sourceFiles.readSourceFile(this.after);
    const difference =
      before.kind === 'document' && after.kind === 'document'
        ? declaration.diffDocuments(before.content, after.content)
        : declaration.diffDeclarations(before.content, after.content);
    this.print(
      {ok: difference.forbidden.length === 0, ...difference},
      formatChanges(difference.changes),
    );
    for (const change of difference.forbidden) {
      this.context.stderr.write(`${this.after}: ${formatForbidden(change)}\n`);
    }
    return difference.forbidden.length === 0
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.refused;
  }
}

/** Formats a forbidden change with its field and remedy on one line. */
export function formatForbidden(change: declaration.ForbiddenChange): string {
  return output.replaceControlCharacters(
    `${change.path}: ${change.message}. ${change.remedy}.`,
  );
}

function formatChanges(changes: readonly declaration.Change[]): string {
  if (changes.length === 0) return 'no changes\n';
  const formatValue = (value: unknown) => JSON.stringify(value);
  return output.formatTable(
    changes.map(change => {
      switch (change.kind) {
        case 'added':
          return ['added', change.path, formatValue(change.after)];
        case 'removed':
          return ['removed', change.path, formatValue(change.before)];
        case 'changed':
          return [
            'changed',
            change.path,
            `${formatValue(change.before)} -> ${formatValue(change.after)}`,
          ];
      }
    }),
  );
}
