import * as fs from 'node:fs';

import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as sourceFiles from '../source-file.js';
import * as diffCommand from './diff.js';

export class CompileCommand extends operatorCommand.OperatorCommand {
  static override paths = [['compile']];
  static override usage = clipanion.Command.Usage({
    description: 'Compile a declaration into the document to publish.',
    details: `
      Writes canonical JSON to the output file, or to the standard output. The
      revision must be higher than that of the previous document and of a
      document that the output file already holds; other forbidden changes are
      refused too, and nothing is written.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      [
        'Compile the next revision',
        '$0 compile declaration.toml --revision 8 --previous published.json --output next.json',
      ],
    ],
  });

  file = clipanion.Option.String();
  revision = clipanion.Option.String('--revision', {
    required: true,
    description: 'Whole number, higher than each revision published before.',
  });
  previous = clipanion.Option.String('--previous', {
    description: 'The document that is published now.',
  });
  output = clipanion.Option.String('--output', {
    description: 'File to write; replaced as a whole.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    if (!/^\d{1,16}$/.test(this.revision)) {
      throw errors.commandError(
        exitCodes.ExitCode.usage,
        `--revision ${this.revision} is not a whole number. Pass the previous revision plus 1.`,
      );
    }
    const document = this.#compile();
    const predecessors = [this.previous];
    if (this.output !== undefined && fs.existsSync(this.output)) {
      predecessors.push(this.output);
    }
    for (const predecessor of predecessors) {
      if (predecessor === undefined) continue;
      this.#rejectForbiddenChanges(
        sourceFiles.readDocument(predecessor),
        document,
      );
    }
    const text = declaration.serializeDocument(document);
    const summary = {
      ok: true,
      revision: document.revision,
      digest: runtime.sha256Hex(text),
      bytes: Buffer.byteLength(text),
    };
    if (this.output === undefined) {
      this.print({...summary, document}, `${text}\n`);
    } else {
      // No trailing newline, so that the digest equals that of the file.
      writeFileAtomically(this.output, text);
      this.print(
        {...summary, output: this.output},
        `${this.output}: revision ${summary.revision}, digest ${summary.digest}, ${summary.bytes} bytes\n`,
      );
    }
    return exitCodes.ExitCode.ok;
  }

  #compile(): declaration.PublishedDocument {
    const content = sourceFiles.readDeclaration(this.file);
    try {
      return declaration.compile(content, Number(this.revision));
    } catch (error) {
      if (!(error instanceof runtime.ConfigurationError)) throw error;
      throw errors.commandError(
        exitCodes.ExitCode.refused,
        `${this.file}: ${error.message}.`,
      );
    }
  }

  #rejectForbiddenChanges(
    before: declaration.PublishedDocument,
    after: declaration.PublishedDocument,
  ): void {
    const {forbidden} = declaration.diffDocuments(before, after);
    if (forbidden.length === 0) return;
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      forbidden
        .map(change => `${this.file}: ${diffCommand.formatForbidden(change)}`)
        .join(' '),
    );
  }
}

/** Replaces a file by renaming, so that readers never see a partial file. */
function writeFileAtomically(file: string, text: string): void {
  const temporary = `${file}.${process.pid}.tmp`;
  try {
    fs.writeFileSync(temporary, text);
    fs.renameSync(temporary, file);
  } catch (error) {
    fs.rmSync(temporary, {force: true});
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: cannot be written (${sourceFiles.systemErrorCode(error)}). Name a file in a writable directory.`,
    );
  }
}
