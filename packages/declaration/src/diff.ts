import * as json from './canonical-json.js';
import type * as documents from './document.js';
import * as sections from './sections.js';

/** One difference; the path contains names: `routes.parts.importance`. */
export type Change =
  | {readonly kind: 'added'; readonly path: string; readonly after: unknown}
  | {readonly kind: 'removed'; readonly path: string; readonly before: unknown}
  | {
      readonly kind: 'changed';
      readonly path: string;
      readonly before: unknown;
      readonly after: unknown;
    };

/** A change that must not be published. */
export interface ForbiddenChange {
  readonly path: string;
  readonly message: string;
  readonly remedy: string;
}

export interface DocumentDifference {
  readonly changes: readonly Change[];
  readonly forbidden: readonly ForbiddenChange[];
}

/** Compares two published documents, including their revisions. */
export function diffDocuments(
  before: documents.PublishedDocument,
  after: documents.PublishedDocument,
): DocumentDifference {
  const {changes, forbidden} = diffDeclarations(before, after);
  if (after.revision > before.revision) return {changes, forbidden};
  const revisionChange = {
    path: 'revision',
    message: `revision ${after.revision} is not higher than ${before.revision}`,
    remedy: `Compile with a revision of at least ${before.revision + 1}`,
  };
  return {changes, forbidden: [revisionChange, ...forbidden]};
}

/** Compares the content of two declarations or published documents. */
export function diffDeclarations(
  before: sections.Declaration,
  after: sections.Declaration,
): DocumentDifference {
  const changes: Change[] = [];
  for (const section of sections.SECTION_NAMES) {
    const beforeItems = new Map<string, object>(
      before[section].map(item => [item.name, item]),
    );
    const afterItems = new Map<string, object>(
      after[section].map(item => [item.name, item]),
    );
    compareMaps(section, beforeItems, afterItems, changes);
  }
  return {changes, forbidden: findForbiddenRegionChanges(before, after)};
}

function findForbiddenRegionChanges(
  before: sections.Declaration,
  after: sections.Declaration,
): ForbiddenChange[] {
  const previousCells = new Map(
    before.regions.map(region => [region.name, region.cells]),
  );
  return after.regions.flatMap(region => {
    const cells = previousCells.get(region.name);
    if (cells === undefined || cells === region.cells) return [];
    return {
      path: `regions.${region.name}.cells`,
      // Daemons with different revisions would assign a bucket or key to
      // different cells, and both cells could act as its owner.
      message: `the number of cells changes from ${cells} to ${region.cells}, but it is fixed for the life of a region`,
      remedy: `Keep ${cells} cells, or declare a region with another name`,
    };
  });
}

function compareMaps(
  path: string,
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
  changes: Change[],
): void {
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  for (const name of names) {
    const memberPath = `${path}.${name}`;
    if (!before.has(name)) {
      changes.push({kind: 'added', path: memberPath, after: after.get(name)});
    } else if (!after.has(name)) {
      changes.push({
        kind: 'removed',
        path: memberPath,
        before: before.get(name),
      });
    } else {
      compareValues(
        memberPath,
        name,
        before.get(name),
        after.get(name),
        changes,
      );
    }
  }
}

function compareValues(
  path: string,
  name: string,
  before: unknown,
  after: unknown,
  changes: Change[],
): void {
  if (Array.isArray(before) && Array.isArray(after)) {
    // Availability zones, methods and key hashes are compared as sets.
    const beforeValues = new Set<unknown>(before);
    const afterValues = new Set<unknown>(after);
    for (const value of beforeValues) {
      if (afterValues.has(value)) continue;
      changes.push({kind: 'removed', path, before: value});
    }
    for (const value of afterValues) {
      if (beforeValues.has(value)) continue;
      changes.push({kind: 'added', path, after: value});
    }
  } else if (
    name !== 'selector' &&
    isPlainObject(before) &&
    isPlainObject(after)
  ) {
    compareMaps(
      path,
      new Map(Object.entries(before)),
      new Map(Object.entries(after)),
      changes,
    );
  } else if (json.canonicalJson(before) !== json.canonicalJson(after)) {
    changes.push({kind: 'changed', path, before, after});
  }
}

function isPlainObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
