import type * as z from 'zod';

import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as schema from './schema.js';
import type * as steps from './steps.js';

/** A declaration: the published document without its revision. */
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

/** A valid item with its position in the source. */
export interface Entry<T> {
  readonly index: number;
  readonly item: T;
}

/** One section: its valid items, and the names of all of its items. */
export interface Section<T> {
  readonly entries: readonly Entry<T>[];
  /** Also holds names of invalid items, so that references to them pass. */
  readonly names: ReadonlySet<string>;
  /** Whether every item is valid. */
  readonly complete: boolean;
}

export type Sections = {
  readonly [Name in SectionName]: Section<Declaration[Name][number]>;
};

/**
 * Most values of one item, nested ones included. It bounds the problems that
 * one item can cause; the largest valid items hold some thousands.
 */
const MAXIMUM_ITEM_VALUES = 10_000;

/** Reading stops after so many findings, so that hostile input costs little. */
export const MAXIMUM_FINDINGS = 10_000;

/** Items that are read in one step, which takes well under a millisecond. */
const ITEMS_PER_STEP = 32;

/** Prepares a raw item before its schema is applied; null rejects it. */
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
 * Checks each item of each section by itself, so that one invalid item does
 * not hide the problems of the others. Findings are appended.
 */
export function* readSections(
  raw: Readonly<Record<string, unknown>>,
  prepare: PrepareItem,
  findings: problems.Finding[],
): steps.Steps<Sections> {
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
): steps.Steps<Section<Declaration[Name][number]>> {
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
    if (index % ITEMS_PER_STEP === ITEMS_PER_STEP - 1) yield;
    const itemName = schema.valueAt(rawItem, ['name']);
    if (typeof itemName === 'string') names.add(itemName);
    const item = readItem(section, rawItem, index, prepare, findings);
    if (item !== null) entries.push({index, item});
  }
  return {entries, names, complete: entries.length === rawItems.length};
}

/** Returns the item, or null when it adds findings. */
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
    findings.push(...findingsOfIssue(section, issue, item, path));
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

function findingsOfIssue(
  section: SectionName,
  issue: z.core.$ZodIssue,
  item: unknown,
  itemPath: readonly problems.PathSegment[],
): problems.Finding[] {
  const path = [...itemPath, ...(issue.path as problems.PathSegment[])];
  const value = schema.valueAt(item, issue.path);
  if (issue.code === 'unrecognized_keys') {
    const known =
      issue.path.length === 0
        ? FIELD_NAMES[section].join(', ')
        : issue.path.at(-1) === 'settings'
          ? schema.settingNames.join(', ')
          : null;
    return issue.keys.map(key => ({
      path: [...path, key],
      value: schema.valueAt(value, [key]),
      message: 'is not a known field',
      remedy: known === null ? 'Remove it' : `Remove it or use one of ${known}`,
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

/** The items of all sections, without their positions. */
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
