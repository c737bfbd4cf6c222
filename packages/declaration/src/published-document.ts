import * as runtime from '@camphorwharf/runtime';

import * as json from './canonical-json.js';
import * as checks from './cross-checks.js';
import type * as documents from './document.js';
import * as problems from './problem.js';
import * as schema from './schema.js';
import * as sections from './sections.js';
import * as steps from './steps.js';

/** Largest serialized document: the platform holds values up to 1 MB. */
export const MAXIMUM_DOCUMENT_BYTES = 1_000_000;

/** Problems listed for a published document; the rest is only counted. */
const MAXIMUM_PROBLEMS = 100;

/**
 * Deepest nesting of the JSON text. A selector of the greatest depth needs 37
 * levels; the bound keeps recursive code from exhausting the stack.
 */
const MAXIMUM_JSON_DEPTH = 40;

/** Characters that are scanned in one step, well under a millisecond. */
const CHARACTERS_PER_STEP = 65_536;

const QUOTE = 0x22;
const OPEN_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;

const DOCUMENT_FIELDS = [
  'formatVersion',
  'revision',
  ...sections.SECTION_NAMES,
];

export type ParsedDocument =
  | {readonly ok: true; readonly document: documents.PublishedDocument}
  | {readonly ok: false; readonly problems: readonly problems.Problem[]};

/**
 * Builds the document to publish. Items and lists without order are sorted, so
 * that the same content always serializes to the same text.
 *
 * @throws ConfigurationError when the revision is not a whole number from 1,
 *     or when the document is larger than MAXIMUM_DOCUMENT_BYTES.
 */
export function compile(
  declaration: sections.Declaration,
  revision: number,
): documents.PublishedDocument {
  if (!schema.revision.safeParse(revision).success) {
    throw new runtime.ConfigurationError(
      `revision ${revision} is not a whole number from 1; pass the previous revision plus 1`,
    );
  }
  const document: documents.PublishedDocument = {
    formatVersion: 1,
    revision,
    regions: sortByName(declaration.regions).map(region => ({
      ...region,
      availabilityZones: [...region.availabilityZones].sort(),
    })),
    services: sortByName(declaration.services),
    routes: sortByName(declaration.routes).map(route => ({
      ...route,
      methods: [...route.methods].sort(),
    })),
    organisations: sortByName(declaration.organisations).map(organisation => ({
      ...organisation,
      keyHashes: [...organisation.keyHashes].sort(),
    })),
    policies: sortByName(declaration.policies),
  };
  const bytes = Buffer.byteLength(serializeDocument(document));
  if (bytes > MAXIMUM_DOCUMENT_BYTES) {
    throw new runtime.ConfigurationError(
      `the document has ${bytes} bytes, more than ${MAXIMUM_DOCUMENT_BYTES}; remove unused items or shorten labels`,
    );
  }
  return document;
}

/** Writes the document as canonical JSON: sorted keys, no white space. */
export function serializeDocument(
  document: documents.PublishedDocument,
): string {
  return json.canonicalJson(document);
}

/** SHA-256 digest of the canonical JSON, lower-case hexadecimal. */
export function documentDigest(document: documents.PublishedDocument): string {
  return runtime.sha256Hex(serializeDocument(document));
}

/**
 * Checks a published document completely. It never throws and its work grows
 * linearly with the text, whatever the text holds.
 *
 * @param fileName Name of the source in problems.
 */
export function parsePublishedDocument(
  jsonText: string,
  fileName = 'document',
): ParsedDocument {
  return steps.runAtOnce(parseInSteps(jsonText, fileName));
}

/**
 * Does the same in short steps. Parsing a document of several hundred
 * kilobytes at once takes tens of milliseconds, during which a daemon would
 * serve no call.
 *
 * @param pause Called between steps; lets other work run before it resolves.
 */
export async function parsePublishedDocumentInSteps(
  jsonText: string,
  pause: () => Promise<void>,
  fileName = 'document',
): Promise<ParsedDocument> {
  return await steps.runWithPauses(parseInSteps(jsonText, fileName), pause);
}

function* parseInSteps(
  jsonText: string,
  fileName: string,
): steps.Steps<ParsedDocument> {
  const reject = (findings: readonly problems.Finding[]): ParsedDocument => {
    const listed = findings
      .slice(0, MAXIMUM_PROBLEMS)
      .map(finding => problems.toProblem(finding, fileName, null));
    if (findings.length > listed.length) {
      listed.push({
        file: fileName,
        line: null,
        path: '',
        value: null,
        message: `${findings.length - listed.length} more problems are not listed`,
        remedy: 'Correct the listed ones first',
      });
    }
    return {ok: false, problems: listed};
  };
  const rejectWhole = (message: string, remedy: string, value?: unknown) =>
    reject([{path: [], value, message, remedy}]);

  // The length in UTF-16 units is at most the length in bytes, and cheap.
  if (
    jsonText.length > MAXIMUM_DOCUMENT_BYTES ||
    Buffer.byteLength(jsonText) > MAXIMUM_DOCUMENT_BYTES
  ) {
    return rejectWhole(
      `is larger than ${MAXIMUM_DOCUMENT_BYTES} bytes`,
      'Remove unused items or shorten labels',
    );
  }
  if ((yield* jsonDepth(jsonText)) > MAXIMUM_JSON_DEPTH) {
    return rejectWhole(
      `is nested deeper than ${MAXIMUM_JSON_DEPTH} levels`,
      'Publish the output of camphorwharf compile',
    );
  }
  yield;
  let raw: unknown;
  try {
    raw = JSON.parse(jsonText);
  } catch {
    return rejectWhole(
      'is not valid JSON',
      'Publish the output of camphorwharf compile',
    );
  }
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) {
    return rejectWhole(
      'is not a JSON object',
      'Publish the output of camphorwharf compile',
    );
  }
  const root = raw as Record<string, unknown>;
  const findings: problems.Finding[] = [];
  if (root['formatVersion'] !== 1) {
    findings.push({
      path: ['formatVersion'],
      value: root['formatVersion'],
      message: 'is not a supported format version',
      remedy: 'Compile the document with a matching version (format 1)',
    });
  }
  if (!schema.revision.safeParse(root['revision']).success) {
    findings.push({
      path: ['revision'],
      value: root['revision'],
      message: 'must be a whole number from 1',
      remedy: 'Publish the output of camphorwharf compile',
    });
  }
  for (const key of Object.keys(root)) {
    if (DOCUMENT_FIELDS.includes(key)) continue;
    findings.push({
      path: [key],
      value: root[key],
      message: 'is not a known field',
      remedy: `Remove it; the fields are ${DOCUMENT_FIELDS.join(', ')}`,
    });
  }
  yield;
  const read = yield* sections.readSections(
    root,
    (_section, item) => item,
    findings,
  );
  if (findings.length < sections.MAXIMUM_FINDINGS) {
    for (const finding of yield* checks.crossCheck(read)) {
      findings.push(finding);
    }
  }
  if (findings.length > 0) return reject(findings);
  return {
    ok: true,
    document: {
      formatVersion: 1,
      revision: root['revision'] as number,
      ...sections.toDeclaration(read),
    },
  };
}

/** Deepest nesting of objects and arrays, found without recursion. */
function* jsonDepth(jsonText: string): steps.Steps<number> {
  let depth = 0;
  let deepest = 0;
  let inString = false;
  for (let index = 0; index < jsonText.length; index++) {
    if (index % CHARACTERS_PER_STEP === CHARACTERS_PER_STEP - 1) yield;
    const code = jsonText.charCodeAt(index);
    if (inString) {
      if (code === BACKSLASH) index++;
      else if (code === QUOTE) inString = false;
    } else if (code === QUOTE) {
      inString = true;
    } else if (code === OPEN_BRACE || code === OPEN_BRACKET) {
      deepest = Math.max(deepest, ++depth);
    } else if (code === CLOSE_BRACE || code === CLOSE_BRACKET) {
      depth--;
    }
  }
  return deepest;
}

function sortByName<T extends {readonly name: string}>(
  items: readonly T[],
): T[] {
  return [...items].sort((left, right) => (left.name < right.name ? -1 : 1));
}
