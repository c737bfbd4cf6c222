import type * as documents from './document.js';

/** Label names that are set implicitly for each call and not by items. */
export const RESERVED_LABELS = ['service', 'route', 'organisation'] as const;

/** Maximum nesting depth of a selector; bounds the recursion of evaluation. */
export const MAXIMUM_SELECTOR_DEPTH = 16;

/** Label values of one call by label name. */
export type CallLabels = ReadonlyMap<string, string>;

/** The result of a selector, with the results of its operands. */
export interface SelectorEvaluation {
  readonly selector: documents.Selector;
  readonly matches: boolean;
  /** Value of the label that `in`, `notIn` or `exists` tests. */
  readonly labelValue: string | null;
  readonly operands: readonly SelectorEvaluation[];
}

/**
 * Collects the labels of a call that selectors are evaluated against: those of
 * its service, route and organisation, and the reserved labels. Validation
 * ensures that only one kind of item sets a label name, so the merge order does
 * not matter. Calls on open routes have no organisation, even with a key.
 *
 * @param route Null to resolve the settings of a service as a whole.
 */
export function collectCallLabels(
  serviceName: string,
  service: documents.Service | null,
  route: documents.Route | null,
  caller: documents.Organisation | null,
): CallLabels {
  const organisation = route?.open === true ? null : caller;
  const labels = new Map<string, string>();
  for (const item of [service, route, organisation]) {
    if (item === null) continue;
    for (const [name, value] of Object.entries(item.labels)) {
      labels.set(name, value);
    }
  }
  labels.set('service', serviceName);
  if (route !== null) labels.set('route', route.name);
  if (organisation !== null) labels.set('organisation', organisation.name);
  return labels;
}

/** Whether the selector matches; `notIn` also matches unset labels. */
export function selectorMatches(
  selector: documents.Selector,
  labels: CallLabels,
): boolean {
  switch (selector.kind) {
    case 'in': {
      const value = labels.get(selector.label);
      return value !== undefined && selector.values.includes(value);
    }
    case 'notIn': {
      const value = labels.get(selector.label);
      return value === undefined || !selector.values.includes(value);
    }
    case 'exists':
      return labels.has(selector.label);
    case 'not':
      return !selectorMatches(selector.operand, labels);
    case 'and':
      return selector.operands.every(operand =>
        selectorMatches(operand, labels),
      );
    case 'or':
      return selector.operands.some(operand =>
        selectorMatches(operand, labels),
      );
  }
}

/** Evaluates a selector and all its operands, for `explainCall`. */
export function evaluateSelector(
  selector: documents.Selector,
  labels: CallLabels,
): SelectorEvaluation {
  const operands = operandsOf(selector).map(operand =>
    evaluateSelector(operand, labels),
  );
  const labelValue =
    'label' in selector ? (labels.get(selector.label) ?? null) : null;
  const matches = selectorMatches(selector, labels);
  return {selector, matches, labelValue, operands};
}

/** Returns the direct operands of `not`, `and` and `or`, else an empty list. */
export function operandsOf(
  selector: documents.Selector,
): readonly documents.Selector[] {
  switch (selector.kind) {
    case 'not':
      return [selector.operand];
    case 'and':
    case 'or':
      return selector.operands;
    case 'in':
    case 'notIn':
    case 'exists':
      return [];
  }
}

/** Formats a selector on one line. */
export function formatSelector(selector: documents.Selector): string {
  switch (selector.kind) {
    case 'in':
      return `${selector.label} in [${selector.values.join(', ')}]`;
    case 'notIn':
      return `${selector.label} not in [${selector.values.join(', ')}]`;
    case 'exists':
      return `${selector.label} exists`;
    case 'not':
      return `not (${formatSelector(selector.operand)})`;
    case 'and':
    case 'or':
      return selector.operands
        .map(operand => `(${formatSelector(operand)})`)
        .join(` ${selector.kind} `);
  }
}
