import type * as z from 'zod';

import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as schema from './schema.js';
import type * as cooperativeTask from './cooperative-task.js';

/** A declaration: a published document without format version and revision. */
export type Declaration = Omit<
  documents.PublishedDocument,
  'formatVersion' | 'revision'
>;

export const SECTION_NAMES = [
  'regions',
  'services',
  'routes',
  'organisations',
  'policies',
] as const satisfies readonly (keyof Declaration)[];
export type SectionName = (typeof SECTION_NAMES)[number];

/** A valid item with its index in the source list. */
export interface Entry<T> {
  readonly index: number;
  readonly item: T;
}

/** The valid items of one section, and the names of all its items. */
export interface Section<T> {
  readonly entries: readonly Entry<T>[];
  /** Includes names of invalid items, so that references to them resolve. */
  readonly names: ReadonlySet<string>;
  /** Whether every item is valid. */
  readonly complete: boolean;
}

export type Sections = {
  readonly [Name in SectionName]: Section<Declaration[Name][number]>;
};

/**
 * Maximum number of values in one item, including nested ones. Limits the
 * problems that one item can cause; the largest valid items have a few
 * thousand.
 */
const MAXIMUM_ITEM_VALUES = 10_000;

/** Validation stops at this many findings, to bound the cost of bad input. */
export const MAXIMUM_FINDINGS = 10_000;

/** Items read between two yields; takes well under a millisecond. */
const ITEMS_PER_YIELD = 32;

/** Transforms a raw item before schema validation; null rejects the item. */
export type PrepareItem = (
  section: SectionName,
  item: unknown,
  path: readonly problems.PathSegment[],
  findings: problems.Finding[],
) => unknown;

const ITEM_SCHEMAS: {
  readonly [Name in SectionName]: z.ZodType<Declaration[Name][number]>;
} = {
  regions: schema.region,
  services: schema.service,
  routes: schema.route,
  organisations: schema.organisation,
  policies: schema.policy,
};

const FIELD_NAMES: {readonly [Name in SectionName]: readonly string[]} = {
  regions: Object.keys(schema.region.shape),
  services: Object.keys(schema.service.shape),
  routes: Object.keys(schema.route.shape),
  organisations: Object.keys(schema.organisation.shape),
  policies: Object.keys(schema.policy.shape),
};

/**
 * Validates each item of each section separately, so that one invalid item does
 * not hide problems of the others. Appends to `findings`.
 */
export function* readSections(
  raw: Readonly<Record<string, unknown>>,
  prepare: PrepareItem,
  findings: problems.Finding[],
): cooperativeTask.CooperativeTask<Sections> {
  return {
    regions: yield* readSection('regions', raw, prepare, findings),
    services: yield* readSection('services', raw, prepare, findings),
    routes: yield* readSection('routes', raw, prepare, findings),
    organisations: yield* readSection('organisations', raw, prepare, findings),
    policies: yield* readSection('policies', raw, prepare, findings),
  };
}

function* readSection<Name extends SectionName>(
  section: Name,
  raw: Readonly<Record<string, unknown>>,
  prepare: PrepareItem,
  findings: problems.Finding[],
): cooperativeTask.CooperativeTask<Section<Declaration[Name][number]>> {
  const rawItems = raw[section];
  const names = new Set<string>();
  if (!Array.isArray(rawItems)) {
    findings.push({
      path: [section],
      value: rawItems,
      message: rawItems === undefined ? 'is missing' : 'is not a list',
      remedy: `Write ${section} as a list of tables`,
    });
    return {entries: [], names, complete: false};
  }
  const entries: Entry<Declaration[Name][number]>[] = [];
  for (const [index, rawItem] of (rawItems as unknown[]).entries()) {
    if (findings.length >= MAXIMUM_FINDINGS) break;
    if (index % ITEMS_PER_YIELD === ITEMS_PER_YIELD - 1) yield;
    const itemName = schema.valueAt(rawItem, ['name']);
    if (typeof itemName === 'string') names.add(itemName);
    const item = readItem(section, rawItem, index, prepare, findings);
    if (item !== null) entries.push({index, item});
  }
  return {entries, names, complete: entries.length === rawItems.length};
}

/** Returns the item, or null if it is invalid and findings were added. */
function readItem<Name extends SectionName>(
  section: Name,
  rawItem: unknown,
  index: number,
  prepare: PrepareItem,
  findings: problems.Finding[],
): Declaration[Name][number] | null {
  const path = [section, index];
  if (hasTooManyValues(rawItem)) {
    findings.push({
      path,
      value: rawItem,
      message: `has more than ${MAXIMUM_ITEM_VALUES} values`,
      remedy: 'Split the item or shorten its lists',
    });
    return null;
  }
  const before = findings.length;
  const item = prepare(section, rawItem, path, findings);
  const parsed = ITEM_SCHEMAS[section].safeParse(item);
  if (parsed.success) return findings.length === before ? parsed.data : null;
  for (const issue of parsed.error.issues) {
    findings.push(...toFindings(section, issue, item, path));
  }
  return null;
}

/** Counts nested values without recursion. */
function hasTooManyValues(item: unknown): boolean {
  const pending: unknown[] = [item];
  let count = 0;
  while (pending.length > 0) {
    const value = pending.pop();
    if (typeof value !== 'object' || value === null) continue;
    const children: unknown[] = Object.values(value);
    count += children.length;
    if (count > MAXIMUM_ITEM_VALUES) return true;
    for (const child of children) pending.push(child);
  }
  return false;
}

function toFindings(
  section: SectionName,
  issue: z.core.$ZodIssue,
  item: unknown,
  itemPath: readonly problems.PathSegment[],
): problems.Finding[] {
  const path = [...itemPath, ...(issue.path as problems.PathSegment[])];
  const value = schema.valueAt(item, issue.path);
  if (issue.code === 'unrecognized_keys') {
    const knownFields =
      issue.path.length === 0
        ? FIELD_NAMES[section].join(', ')
        : issue.path.at(-1) === 'settings'
          ? schema.settingNames.join(', ')
          : null;
    return issue.keys.map(key => ({
      path: [...path, key],
      value: schema.valueAt(value, [key]),
      message: 'is not a known field',
      remedy:
        knownFields === null
          ? 'Remove it'
          : `Remove it or use one of ${knownFields}`,
    }));
  }
  if (issue.code === 'invalid_key') {
    const expected = issue.issues[0]?.message ?? issue.message;
    return [
      {
        path,
        value: issue.path.at(-1),
        message: `must have ${expected}`,
        remedy: `Rename it to ${expected}`,
      },
    ];
  }
  if (value === undefined && issue.path.length > 0) {
    return [
      {path, value, message: 'is missing', remedy: `Set ${issue.message}`},
    ];
  }
  const expected =
    issue.path.length === 0 ? 'a table of fields' : issue.message;
  return [
    {path, value, message: `must be ${expected}`, remedy: `Set ${expected}`},
  ];
}

/** Returns the items of all sections without their indexes. */
export function toDeclaration(sections: Sections): Declaration {
  const items = <T>(section: Section<T>) =>
    section.entries.map(entry => entry.item);
  return {
    regions: items(sections.regions),
    services: items(sections.services),
    routes: items(sections.routes),
    organisations: items(sections.organisations),
    policies: items(sections.policies),
  };
}
