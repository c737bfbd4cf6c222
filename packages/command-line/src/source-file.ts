import * as fs from 'node:fs';

import * as declaration from '@camphorwharf/declaration';

import * as errors from './command-error.js';
import * as exitCodes from './exit-code.js';

/** Parsed content of a published document (`.json`) or a declaration. */
export type SourceFile =
  | {
      readonly kind: 'document';
      readonly content: declaration.PublishedDocument;
    }
  | {readonly kind: 'declaration'; readonly content: declaration.Declaration};

/**
 * Reads and validates a declaration, or a published document when the file
 * name ends in `.json`.
 *
 * @throws CommandError with all problems of the file.
 */
export function readSourceFile(file: string): SourceFile {
  return file.endsWith('.json')
    ? {kind: 'document', content: readDocument(file)}
    : {kind: 'declaration', content: readDeclaration(file)};
}

/** @throws CommandError with all problems of the file. */
export function readDeclaration(file: string): declaration.Declaration {
  const parsed = declaration.parseDeclaration(readFileText(file), file);
  if (parsed.ok) return parsed.declaration;
  throw invalidFileError(file, parsed.problems);
}

/** @throws CommandError with all problems of the file. */
export function readDocument(file: string): declaration.PublishedDocument {
  const parsed = declaration.parsePublishedDocument(readFileText(file), file);
  if (parsed.ok) return parsed.document;
  throw invalidFileError(file, parsed.problems);
}

function readFileText(file: string): string {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: cannot be read (${systemErrorCode(error)}). Name an existing, readable file.`,
    );
  }
}

function invalidFileError(
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

/** Returns the code of a system error, such as ENOENT. */
export function systemErrorCode(error: unknown): string {
  const code = (error as {code?: unknown}).code;
  return typeof code === 'string' ? code : String(error);
}
