import * as toml from 'smol-toml';

import * as checks from './cross-checks.js';
import * as problems from './problem.js';
import * as documents from './published-document.js';
import * as sections from './sections.js';
import * as steps from './steps.js';
import * as tomlLines from './toml-lines.js';
import * as tomlSelectors from './toml-selector.js';

/** Deepest inline nesting; a selector of the greatest depth needs 33 levels. */
const MAXIMUM_TOML_DEPTH = 40;

export type ParsedDeclaration =
  | {readonly ok: true; readonly declaration: sections.Declaration}
  | {readonly ok: false; readonly problems: readonly problems.Problem[]};

/** Fields that a declaration may leave out, by section. */
const DEFAULTS: {
  readonly [Name in sections.SectionName]: Readonly<Record<string, unknown>>;
} = {
  regions: {},
  services: {labels: {}},
  routes: {methods: [], open: false, labels: {}},
  organisations: {labels: {}},
  policies: {},
};

/**
 * Reads a declaration in TOML and checks all of it. All problems are returned
 * at once, in the order of their lines.
 *
 * @param fileName Name of the file in problems.
 */
export function parseDeclaration(
  text: string,
  fileName: string,
): ParsedDeclaration {
  const rejectWhole = (
    line: number | null,
    message: string,
    remedy: string,
  ): ParsedDeclaration => ({
    ok: false,
    problems: [{file: fileName, line, path: '', value: null, message, remedy}],
  });
  if (Buffer.byteLength(text) > documents.MAXIMUM_DOCUMENT_BYTES) {
    return rejectWhole(
      null,
      `is larger than ${documents.MAXIMUM_DOCUMENT_BYTES} bytes`,
      'Remove unused items or shorten labels',
    );
  }
  let raw: Record<string, unknown>;
  try {
    raw = toml.parse(text, {
      maxDepth: MAXIMUM_TOML_DEPTH,
      unsafeKeyBehaviour: 'throw',
    });
  } catch (error) {
    if (!(error instanceof toml.TomlError)) throw error;
    const reason = error.message.split('\n')[0] ?? '';
    return rejectWhole(
      error.line,
      `is not valid TOML: ${reason.replace('Invalid TOML document: ', '')}`,
      `Correct the syntax at column ${error.column}`,
    );
  }

  const findings: problems.Finding[] = [];
  for (const key of Object.keys(raw)) {
    if ((sections.SECTION_NAMES as readonly string[]).includes(key)) continue;
    findings.push({
      path: [key],
      value: raw[key],
      message: 'is not a known section',
      remedy: `Remove it or use one of ${sections.SECTION_NAMES.join(', ')}`,
    });
  }
  const root = {routes: [], organisations: [], policies: [], ...raw};
  const read = steps.runAtOnce(
    sections.readSections(root, prepareItem, findings),
  );
  if (findings.length < sections.MAXIMUM_FINDINGS) {
    for (const finding of steps.runAtOnce(checks.crossCheck(read))) {
      findings.push(finding);
    }
  }
  if (findings.length === 0) {
    return {ok: true, declaration: sections.toDeclaration(read)};
  }
  const lines = new tomlLines.TomlLines(text);
  return {
    ok: false,
    problems: findings
      .map(finding =>
        problems.toProblem(finding, fileName, lines.lineOf(finding.path)),
      )
      .sort((left, right) => (left.line ?? 0) - (right.line ?? 0)),
  };
}

/** Fills in defaults, and converts the selector from its TOML form. */
const prepareItem: sections.PrepareItem = (section, item, path, findings) => {
  if (typeof item !== 'object' || item === null) return item;
  const filled: Record<string, unknown> = {...DEFAULTS[section], ...item};
  if (section === 'policies') {
    // A placeholder stands for an invalid selector, whose findings are
    // already listed, so that the schema still checks the other fields.
    filled['selector'] = tomlSelectors.readTomlSelector(
      filled['selector'],
      [...path, 'selector'],
      findings,
    ) ?? {kind: 'exists', label: 'service'};
  }
  return filled;
};
