import * as fs from 'node:fs';

import * as declaration from '@camphorwharf/declaration';

import * as errors from './command-error.js';
import * as exitCodes from './exit-code.js';

/** What a file holds: a published document (`.json`) or a declaration. */
export type Source =
  | {
      readonly kind: 'document';
      readonly content: declaration.PublishedDocument;
    }
  | {readonly kind: 'declaration'; readonly content: declaration.Declaration};

/**
 * Reads and checks a declaration, or a published document when the name of the
 * file ends in `.json`.
 *
 * @throws CommandError with all problems of the file.
 */
export function readSource(file: string): Source {
  return file.endsWith('.json')
    ? {kind: 'document', content: readDocument(file)}
    : {kind: 'declaration', content: readDeclaration(file)};
}

/** @throws CommandError with all problems of the file. */
export function readDeclaration(file: string): declaration.Declaration {
  const parsed = declaration.parseDeclaration(readText(file), file);
  if (parsed.ok) return parsed.declaration;
  throw invalidFile(file, parsed.problems);
}

/** @throws CommandError with all problems of the file. */
export function readDocument(file: string): declaration.PublishedDocument {
  const parsed = declaration.parsePublishedDocument(readText(file), file);
  if (parsed.ok) return parsed.document;
  throw invalidFile(file, parsed.problems);
}

function readText(file: string): string {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: cannot be read (${errorCode(error)}). Name an existing file that you may read.`,
    );
  }
}

function invalidFile(
  file: string,
  problems: readonly declaration.Problem[],
): errors.CommandError {
  const count =
    problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  return errors.commandError(
    exitCodes.ExitCode.refused,
    `${file}: ${count}.`,
    problems,
  );
}

/** The code of a system error, such as ENOENT. */
export function errorCode(error: unknown): string {
  const code = (error as {code?: unknown}).code;
  return typeof code === 'string' ? code : String(error);
}
