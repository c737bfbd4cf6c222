import type * as documents from './document.js';
import type * as problems from './problem.js';
import type * as sectionTypes from './sections.js';
import * as selectors from './selector.js';

/**
 * Settings of a service's targets and senders as a whole. They have one value
 * per service, so only the labels of the service may select them.
 */
export const SERVICE_SETTINGS = [
  'retryRatio',
  'maximumConcurrency',
  'maximumQueue',
] as const satisfies readonly (keyof documents.PolicySettings)[];

interface KnownLabels {
  /** Values of the labels whose values are names of items. */
  readonly namesOf: ReadonlyMap<string, ReadonlySet<string>>;
  readonly ofServices: ReadonlySet<string>;
  readonly all: ReadonlySet<string>;
  /** False when an invalid item may set labels that are not in `all`. */
  readonly complete: boolean;
}

/** Checks the depth of selectors, and that their labels and names exist. */
export function checkPolicies(
  sections: sectionTypes.Sections,
): problems.Finding[] {
  const known = knownLabels(sections);
  const findings: problems.Finding[] = [];
  for (const {index, item} of sections.policies.entries) {
    const path = ['policies', index, 'selector'];
    checkSelector(item.selector, path, 1, known, findings);
    const setting = SERVICE_SETTINGS.find(
      name => item.settings[name] !== undefined,
    );
    const label = labelsOfSelector(item.selector).find(
      name => name !== 'service' && !known.ofServices.has(name),
    );
    if (setting !== undefined && label !== undefined && known.complete) {
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

function knownLabels(sections: sectionTypes.Sections): KnownLabels {
  const labelsOf = (section: 'services' | 'routes' | 'organisations') =>
    sections[section].entries.flatMap(({item}) => Object.keys(item.labels));
  const ofServices = new Set(labelsOf('services'));
  return {
    namesOf: new Map([
      ['service', sections.services.names],
      ['route', sections.routes.names],
      ['organisation', sections.organisations.names],
    ]),
    ofServices,
    all: new Set([
      ...selectors.RESERVED_LABELS,
      ...ofServices,
      ...labelsOf('routes'),
      ...labelsOf('organisations'),
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
  known: KnownLabels,
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
    checkSelector(operand, path, depth + 1, known, findings);
  }
  if (!('label' in selector)) return;
  if (known.complete && !known.all.has(selector.label)) {
    findings.push({
      path,
      value: selector.label,
      message: 'uses a label that no service, route or organisation sets',
      remedy: 'Correct the label name or set the label',
    });
  }
  const names = known.namesOf.get(selector.label);
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

function labelsOfSelector(selector: documents.Selector): string[] {
  if ('label' in selector) return [selector.label];
  return selectors.operandsOf(selector).flatMap(labelsOfSelector);
}
