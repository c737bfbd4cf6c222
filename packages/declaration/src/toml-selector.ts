import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as schema from './schema.js';
import * as selectors from './selector.js';

const FORMS =
  '{label = "…", in = ["…"]}, {label = "…", notIn = ["…"]}, ' +
  '{label = "…", exists = true}, {not = {…}}, {and = [{…}]} or {or = [{…}]}';

/**
 * Reads the TOML form of a selector. Problems are appended to `findings`; the
 * result is null when there is one.
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
    at: readonly problems.PathSegment[] = path,
    value: unknown = raw,
  ) => {
    findings.push({path: at, value, message, remedy});
    return null;
  };
  if (depth > selectors.MAXIMUM_SELECTOR_DEPTH) {
    return reject(
      `is nested deeper than ${selectors.MAXIMUM_SELECTOR_DEPTH} levels`,
      'Flatten the selector',
    );
  }
  if (!isTable(raw)) {
    return reject(
      raw === undefined ? 'is missing' : 'is not a selector',
      `Write one of ${FORMS}`,
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
      const list = raw[keys];
      if (!Array.isArray(list) || list.length === 0) {
        return reject(
          'is not a list of at least one selector',
          `Write one of ${FORMS}`,
          [...path, keys],
          list,
        );
      }
      const operands = list.map((item, index) =>
        readTomlSelector(item, [...path, keys, index], findings, depth + 1),
      );
      const valid = operands.filter(operand => operand !== null);
      return valid.length === operands.length
        ? {kind: keys, operands: valid}
        : null;
    }
    case 'in label':
    case 'label notIn':
    case 'exists label': {
      const form =
        'in' in raw
          ? {kind: 'in', label: raw['label'], values: raw['in']}
          : 'notIn' in raw
            ? {kind: 'notIn', label: raw['label'], values: raw['notIn']}
            : {kind: 'exists', label: raw['label']};
      if (form.kind === 'exists' && raw['exists'] !== true) {
        return reject(
          'must be true',
          'Write {not = {label = "…", exists = true}} to select calls without the label',
          [...path, 'exists'],
          raw['exists'],
        );
      }
      const parsed = schema.labelSelector.safeParse(form);
      if (parsed.success) return parsed.data;
      for (const issue of parsed.error.issues) {
        const place = issue.path.map(segment =>
          segment === 'values' ? form.kind : (segment as string | number),
        );
        findings.push({
          path: [...path, ...place],
          value: schema.valueAt(form, issue.path),
          message: `must be ${issue.message}`,
          remedy: `Set ${issue.message}`,
        });
      }
      return null;
    }
    default:
      return reject(
        `is not a selector (fields: ${keys === '' ? 'none' : keys.slice(0, 100)})`,
        `Write one of ${FORMS}`,
      );
  }
}

function isTable(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Date)
  );
}
