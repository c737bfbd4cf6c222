import * as runtime from '@camphorwharf/runtime';

import * as json from './canonical-json.js';
import * as checks from './cross-checks.js';
import type * as documents from './document.js';
import * as problems from './problem.js';
import * as schema from './schema.js';
import * as sections from './sections.js';
import * as cooperativeTask from './cooperative-task.js';

/** Maximum size of a serialized document; the platform stores at most 1 MB. */
export const MAXIMUM_DOCUMENT_BYTES = 1_000_000;

/** Maximum number of problems reported in full; the rest are only counted. */
const MAXIMUM_REPORTED_PROBLEMS = 100;

/**
 * Maximum nesting depth of the JSON text. A selector of the maximum depth needs
 * 37 levels; the limit protects recursive code from stack overflow.
 */
const MAXIMUM_JSON_DEPTH = 40;

/** Characters scanned between two yields; takes well under a millisecond. */
const CHARACTERS_PER_YIELD = 65_536;

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
 * Builds the document to publish. Items and unordered lists are sorted, so that
 * the same content always serializes to the same text.
 *
 * @throws ConfigurationError if the revision is not a positive integer, or if
 *     the document is larger than MAXIMUM_DOCUMENT_BYTES.
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
 * Validates a published document in full. Never throws, and runs in time linear
 * in the length of the text, even for malicious input.
 *
 * @param fileName Name of the source in problems.
 */
export function parsePublishedDocument(
  jsonText: string,
  fileName = 'document',
): ParsedDocument {
  return cooperativeTask.runToCompletion(
    parseCooperatively(jsonText, fileName),
  );
}

/**
 * Variant of `parsePublishedDocument` that yields regularly. Parsing a document
 * of several hundred kilobytes synchronously takes tens of milliseconds, during
 * which a daemon could not serve calls.
 *
 * @param yieldControl Awaited at each yield; lets other work run.
 */
export async function parsePublishedDocumentAsync(
  jsonText: string,
  yieldControl: () => Promise<void>,
  fileName = 'document',
): Promise<ParsedDocument> {
  return await cooperativeTask.runCooperatively(
    parseCooperatively(jsonText, fileName),
    yieldControl,
  );
}

function* parseCooperatively(
  jsonText: string,
  fileName: string,
): cooperativeTask.CooperativeTask<ParsedDocument> {
  const reject = (findings: readonly problems.Finding[]): ParsedDocument => {
    const reported = findings
      .slice(0, MAXIMUM_REPORTED_PROBLEMS)
      .map(finding => problems.toProblem(finding, fileName, null));
    if (findings.length > reported.length) {
      reported.push({
        file: fileName,
        line: null,
        path: '',
        value: null,
        message: `${findings.length - reported.length} more problems are not listed`,
        remedy: 'Correct the listed ones first',
      });
    }
    return {ok: false, problems: reported};
  };
  const rejectDocument = (message: string, remedy: string, value?: unknown) =>
    reject([{path: [], value, message, remedy}]);

  // The length in UTF-16 code units is a cheap lower bound of the byte length.
  if (
    jsonText.length > MAXIMUM_DOCUMENT_BYTES ||
    Buffer.byteLength(jsonText) > MAXIMUM_DOCUMENT_BYTES
  ) {
    return rejectDocument(
      `is larger than ${MAXIMUM_DOCUMENT_BYTES} bytes`,
      'Remove unused items or shorten labels',
    );
  }
  if ((yield* measureJsonDepth(jsonText)) > MAXIMUM_JSON_DEPTH) {
    return rejectDocument(
      `is nested deeper than ${MAXIMUM_JSON_DEPTH} levels`,
      'Publish the output of camphorwharf compile',
    );
  }
  yield;
  let raw: unknown;
  try {
    raw = JSON.parse(jsonText);
  } catch {
    return rejectDocument(
      'is not valid JSON',
      'Publish the output of camphorwharf compile',
    );
  }
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) {
    return rejectDocument(
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
  const validated = yield* sections.readSections(
    root,
    (_section, item) => item,
    findings,
  );
  if (findings.length < sections.MAXIMUM_FINDINGS) {
    for (const finding of yield* checks.crossCheck(validated)) {
      findings.push(finding);
    }
  }
  if (findings.length > 0) return reject(findings);
  return {
    ok: true,
    document: {
      formatVersion: 1,
      revision: root['revision'] as number,
      ...sections.toDeclaration(validated),
    },
  };
}

/** Returns the maximum nesting depth of objects and arrays; not recursive. */
function* measureJsonDepth(
  jsonText: string,
): cooperativeTask.CooperativeTask<number> {
  let depth = 0;
  let maximumDepth = 0;
  let inString = false;
  for (let index = 0; index < jsonText.length; index++) {
    if (index % CHARACTERS_PER_YIELD === CHARACTERS_PER_YIELD - 1) yield;
    const code = jsonText.charCodeAt(index);
    if (inString) {
      if (code === BACKSLASH) index++;
      else if (code === QUOTE) inString = false;
    } else if (code === QUOTE) {
      inString = true;
    } else if (code === OPEN_BRACE || code === OPEN_BRACKET) {
      maximumDepth = Math.max(maximumDepth, ++depth);
    } else if (code === CLOSE_BRACE || code === CLOSE_BRACKET) {
      depth--;
    }
  }
  return maximumDepth;
}

function sortByName<T extends {readonly name: string}>(
  items: readonly T[],
): T[] {
  return [...items].sort((left, right) => (left.name < right.name ? -1 : 1));
}
