import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as schema from './schema.js';
import * as selectors from './selector.js';

const SELECTOR_FORMS =
  '{label = "…", in = ["…"]}, {label = "…", notIn = ["…"]}, ' +
  '{label = "…", exists = true}, {not = {…}}, {and = [{…}]} or {or = [{…}]}';

/**
 * Parses the TOML form of a selector. Appends problems to `findings` and
 * returns null if the selector is invalid.
 */
export function readTomlSelector(
  raw: unknown,
  path: readonly problems.PathSegment[],
  findings: problems.Finding[],
  depth = 1,
): documents.Selector | null {
  const reject = (
    message: string,
    remedy: string,
    location: readonly problems.PathSegment[] = path,
    value: unknown = raw,
  ) => {
    findings.push({path: location, value, message, remedy});
    return null;
  };
  if (depth > selectors.MAXIMUM_SELECTOR_DEPTH) {
    return reject(
      `is nested deeper than ${selectors.MAXIMUM_SELECTOR_DEPTH} levels`,
      'Flatten the selector',
    );
  }
  if (!isTomlTable(raw)) {
    return reject(
      raw === undefined ? 'is missing' : 'is not a selector',
      `Write one of ${SELECTOR_FORMS}`,
    );
  }
  const keys = Object.keys(raw).sort().join(' ');
  switch (keys) {
    case 'not': {
      const operand = readTomlSelector(
        raw['not'],
        [...path, 'not'],
        findings,
        depth + 1,
      );
      return operand && {kind: 'not', operand};
    }
    case 'and':
    case 'or': {
      const rawOperands = raw[keys];
      if (!Array.isArray(rawOperands) || rawOperands.length === 0) {
        return reject(
          'is not a list of at least one selector',
          `Write one of ${SELECTOR_FORMS}`,
          [...path, keys],
          rawOperands,
        );
      }
      const operands = rawOperands.map((item, index) =>
        readTomlSelector(item, [...path, keys, index], findings, depth + 1),
      );
      const validOperands = operands.filter(operand => operand !== null);
      return validOperands.length === operands.length
        ? {kind: keys, operands: validOperands}
        : null;
    }
    case 'in label':
    case 'label notIn':
    case 'exists label': {
      const convertedSelector =
        'in' in raw
          ? {kind: 'in', label: raw['label'], values: raw['in']}
          : 'notIn' in raw
            ? {kind: 'notIn', label: raw['label'], values: raw['notIn']}
            : {kind: 'exists', label: raw['label']};
      if (convertedSelector.kind === 'exists' && raw['exists'] !== true) {
        return reject(
          'must be true',
          'Write {not = {label = "…", exists = true}} to select calls without the label',
          [...path, 'exists'],
          raw['exists'],
        );
      }
      const parsed = schema.labelSelector.safeParse(convertedSelector);
      if (parsed.success) return parsed.data;
      for (const issue of parsed.error.issues) {
        const relativePath = issue.path.map(segment =>
          segment === 'values'
            ? convertedSelector.kind
            : (segment as string | number),
        );
        findings.push({
          path: [...path, ...relativePath],
          value: schema.valueAt(convertedSelector, issue.path),
          message: `must be ${issue.message}`,
          remedy: `Set ${issue.message}`,
        });
      }
      return null;
    }
    default:
      return reject(
        `is not a selector (fields: ${keys === '' ? 'none' : keys.slice(0, 100)})`,
        `Write one of ${SELECTOR_FORMS}`,
      );
  }
}

function isTomlTable(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Date)
  );
}
