import * as toml from 'smol-toml';

import * as checks from './cross-checks.js';
import * as problems from './problem.js';
import * as documents from './published-document.js';
import * as sections from './sections.js';
import * as cooperativeTask from './cooperative-task.js';
import * as tomlLineIndex from './toml-line-index.js';
import * as tomlSelectors from './toml-selector.js';

/** Maximum inline nesting; a selector of the maximum depth needs 33 levels. */
const MAXIMUM_TOML_DEPTH = 40;

export type ParsedDeclaration =
  | {readonly ok: true; readonly declaration: sections.Declaration}
  | {readonly ok: false; readonly problems: readonly problems.Problem[]};

/** Default values of optional fields by section. */
const ITEM_DEFAULTS: {
  readonly [Name in sections.SectionName]: Readonly<Record<string, unknown>>;
} = {
  regions: {},
  services: {labels: {}},
  routes: {methods: [], open: false, labels: {}},
  organisations: {labels: {}},
  policies: {},
};

/**
 * Parses and validates a declaration in TOML. Returns all problems, ordered by
 * line.
 *
 * @param fileName File name used in problems.
 */
export function parseDeclaration(
  text: string,
  fileName: string,
): ParsedDeclaration {
  const rejectFile = (
    line: number | null,
    message: string,
    remedy: string,
  ): ParsedDeclaration => ({
    ok: false,
    problems: [{file: fileName, line, path: '', value: null, message, remedy}],
  });
  if (Buffer.byteLength(text) > documents.MAXIMUM_DOCUMENT_BYTES) {
    return rejectFile(
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
    return rejectFile(
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
  const validated = cooperativeTask.runToCompletion(
    sections.readSections(root, prepareItem, findings),
  );
  if (findings.length < sections.MAXIMUM_FINDINGS) {
    for (const finding of cooperativeTask.runToCompletion(
      checks.crossCheck(validated),
    )) {
      findings.push(finding);
    }
  }
  if (findings.length === 0) {
    return {ok: true, declaration: sections.toDeclaration(validated)};
  }
  const lines = new tomlLineIndex.TomlLineIndex(text);
  return {
    ok: false,
    problems: findings
      .map(finding =>
        problems.toProblem(finding, fileName, lines.lineOf(finding.path)),
      )
      .sort((left, right) => (left.line ?? 0) - (right.line ?? 0)),
  };
}

/** Adds defaults and converts the selector from its TOML form. */
const prepareItem: sections.PrepareItem = (section, item, path, findings) => {
  if (typeof item !== 'object' || item === null) return item;
  const itemWithDefaults: Record<string, unknown> = {
    ...ITEM_DEFAULTS[section],
    ...item,
  };
  if (section === 'policies') {
    // An invalid selector already has findings. A valid placeholder replaces
    // it, so that the schema still validates the other fields.
    itemWithDefaults['selector'] = tomlSelectors.readTomlSelector(
      itemWithDefaults['selector'],
      [...path, 'selector'],
      findings,
    ) ?? {kind: 'exists', label: 'service'};
  }
  return itemWithDefaults;
};
