import type * as documents from './document.js';
import type * as problems from './problem.js';
import type * as sectionTypes from './sections.js';
import * as selectors from './selector.js';

/**
 * Settings that apply to a service as a whole, at its targets and its callers.
 * They have one value per service, so selectors may use only service labels.
 */
export const SERVICE_SETTINGS = [
  'retryRatio',
  'maximumConcurrency',
  'maximumQueue',
] as const satisfies readonly (keyof documents.PolicySettings)[];

interface KnownLabels {
  /** Declared item names by the reserved label that refers to them. */
  readonly declaredNames: ReadonlyMap<string, ReadonlySet<string>>;
  readonly serviceLabels: ReadonlySet<string>;
  readonly allLabels: ReadonlySet<string>;
  /** False if invalid items may set labels that are missing in `allLabels`. */
  readonly complete: boolean;
}

/** Checks the depth of selectors and the labels and names they refer to. */
export function checkPolicies(
  sections: sectionTypes.Sections,
): problems.Finding[] {
  const knownLabels = collectKnownLabels(sections);
  const findings: problems.Finding[] = [];
  for (const {index, item} of sections.policies.entries) {
    const path = ['policies', index, 'selector'];
    checkSelector(item.selector, path, 1, knownLabels, findings);
    const setting = SERVICE_SETTINGS.find(
      name => item.settings[name] !== undefined,
    );
    const label = collectSelectorLabels(item.selector).find(
      name => name !== 'service' && !knownLabels.serviceLabels.has(name),
    );
    if (setting !== undefined && label !== undefined && knownLabels.complete) {
      findings.push({
        path: ['policies', index, 'settings', setting],
        value: item.settings[setting],
        message: `has one value per service, but the selector uses the label ${label}`,
        remedy:
          'Set it in a policy whose selector uses only "service" and labels of services',
      });
    }
  }
  return findings;
}

function collectKnownLabels(sections: sectionTypes.Sections): KnownLabels {
  const labelNamesIn = (section: 'services' | 'routes' | 'organisations') =>
    sections[section].entries.flatMap(({item}) => Object.keys(item.labels));
  const serviceLabels = new Set(labelNamesIn('services'));
  return {
    declaredNames: new Map([
      ['service', sections.services.names],
      ['route', sections.routes.names],
      ['organisation', sections.organisations.names],
    ]),
    serviceLabels,
    allLabels: new Set([
      ...selectors.RESERVED_LABELS,
      ...serviceLabels,
      ...labelNamesIn('routes'),
      ...labelNamesIn('organisations'),
    ]),
    complete:
      sections.services.complete &&
      sections.routes.complete &&
      sections.organisations.complete,
  };
}

function checkSelector(
  selector: documents.Selector,
  path: readonly problems.PathSegment[],
  depth: number,
  knownLabels: KnownLabels,
  findings: problems.Finding[],
): void {
  if (depth > selectors.MAXIMUM_SELECTOR_DEPTH) {
    findings.push({
      path,
      value: selector,
      message: `is nested deeper than ${selectors.MAXIMUM_SELECTOR_DEPTH} levels`,
      remedy: 'Flatten the selector',
    });
    return;
  }
  for (const operand of selectors.operandsOf(selector)) {
    checkSelector(operand, path, depth + 1, knownLabels, findings);
  }
  if (!('label' in selector)) return;
  if (knownLabels.complete && !knownLabels.allLabels.has(selector.label)) {
    findings.push({
      path,
      value: selector.label,
      message: 'uses a label that no service, route or organisation sets',
      remedy: 'Correct the label name or set the label',
    });
  }
  const names = knownLabels.declaredNames.get(selector.label);
  if (names === undefined || selector.kind === 'exists') return;
  for (const value of selector.values) {
    if (names.has(value)) continue;
    findings.push({
      path,
      value,
      message: `is not the name of a declared ${selector.label}`,
      remedy: `Name a declared ${selector.label} or remove the value`,
    });
  }
}

function collectSelectorLabels(selector: documents.Selector): string[] {
  if ('label' in selector) return [selector.label];
  return selectors.operandsOf(selector).flatMap(collectSelectorLabels);
}
