import type * as problems from './problem.js';
import * as policyChecks from './policy-checks.js';
import type * as sectionTypes from './sections.js';
import * as selectors from './selector.js';
import type * as steps from './steps.js';

/** Rounding allowance for the sum of the region weights. */
const WEIGHT_SUM_TOLERANCE = 1e-9;

const CHECKS = [
  checkDuplicateNames,
  checkRegions,
  checkRoutes,
  checkOrganisations,
  checkLabels,
  policyChecks.checkPolicies,
];

/** Checks what no single item shows: references, uniqueness and sums. */
export function* crossCheck(
  sections: sectionTypes.Sections,
): steps.Steps<problems.Finding[]> {
  const findings: problems.Finding[] = [];
  for (const check of CHECKS) {
    yield;
    for (const finding of check(sections)) findings.push(finding);
  }
  return findings;
}

function checkDuplicateNames(
  sections: sectionTypes.Sections,
): problems.Finding[] {
  const findings: problems.Finding[] = [];
  for (const [section, {entries}] of Object.entries(sections)) {
    const firstIndex = new Map<string, number>();
    for (const {index, item} of entries) {
      const first = firstIndex.get(item.name);
      if (first === undefined) firstIndex.set(item.name, index);
      else {
        findings.push({
          path: [section, index, 'name'],
          value: item.name,
          message: `is already the name of ${section}[${first}]`,
          remedy: 'Give each item of a section its own name',
        });
      }
    }
  }
  return findings;
}

function checkRegions({regions}: sectionTypes.Sections): problems.Finding[] {
  const findings: problems.Finding[] = [];
  const regionOfZone = new Map<string, string>();
  let weightSum = 0;
  for (const {index, item} of regions.entries) {
    weightSum += item.weight;
    item.availabilityZones.forEach((zone, position) => {
      const region = regionOfZone.get(zone);
      if (region === undefined) regionOfZone.set(zone, item.name);
      else {
        findings.push({
          path: ['regions', index, 'availabilityZones', position],
          value: zone,
          message: `is already an availability zone of region ${region}`,
          remedy: 'Name each availability zone once',
        });
      }
    });
  }
  if (!regions.complete) return findings;
  if (regions.entries.length === 0) {
    findings.push({
      path: ['regions'],
      value: undefined,
      message: 'has no entry',
      remedy: 'Declare at least one region',
    });
  } else if (Math.abs(weightSum - 1) > WEIGHT_SUM_TOLERANCE) {
    findings.push({
      path: ['regions'],
      value: weightSum,
      message: 'has weights that do not add up to 1',
      remedy: 'Change the weights of the regions so that their sum is 1',
    });
  }
  return findings;
}

function checkRoutes({
  routes,
  services,
}: sectionTypes.Sections): problems.Finding[] {
  const findings: problems.Finding[] = [];
  // A method of a prefix, or "" for all methods, has one route, so that
  // exactly one route matches a call.
  const routeOfMethod = new Map<string, string>();
  for (const {index, item} of routes.entries) {
    // When the section is unreadable, its own finding says enough.
    const isReadable = services.complete || services.names.size > 0;
    if (isReadable && !services.names.has(item.service)) {
      findings.push({
        path: ['routes', index, 'service'],
        value: item.service,
        message: 'is not a declared service',
        remedy: 'Name a service of the services section, or declare it there',
      });
    }
    const methods = item.methods.length === 0 ? [''] : item.methods;
    methods.forEach((method, position) => {
      const key = `${item.service} ${item.pathPrefix} ${method}`;
      const other = routeOfMethod.get(key);
      if (other === undefined) {
        routeOfMethod.set(key, item.name);
        return;
      }
      const isRepeat = other === item.name;
      findings.push({
        path: ['routes', index, 'methods', position],
        value: method === '' ? undefined : method,
        message: isRepeat
          ? 'is listed twice'
          : `overlaps with route ${other}, which has the same service, path prefix and method`,
        remedy: isRepeat
          ? 'Remove one of the two'
          : 'Change the methods or the path prefix of one of the routes',
      });
    });
  }
  return findings;
}

function checkOrganisations({
  organisations,
  regions,
}: sectionTypes.Sections): problems.Finding[] {
  const findings: problems.Finding[] = [];
  const organisationOfHash = new Map<string, string>();
  const smallestWeight = regions.entries.reduce(
    (smallest, {item}) => Math.min(smallest, item.weight),
    1,
  );
  for (const {index, item} of organisations.entries) {
    item.keyHashes.forEach((hash, position) => {
      const other = organisationOfHash.get(hash);
      if (other === undefined) organisationOfHash.set(hash, item.name);
      else {
        findings.push({
          path: ['organisations', index, 'keyHashes', position],
          value: hash,
          message: `is already a key hash of organisation ${other}`,
          remedy: 'Give each key to one organisation, and list it once',
        });
      }
    });
    // A bucket that holds less than one token refuses every call.
    if (regions.complete && item.burst * smallestWeight < 1) {
      findings.push({
        path: ['organisations', index, 'burst'],
        value: item.burst,
        message: `gives less than one token to the region of weight ${smallestWeight}`,
        remedy: `Set the burst to at least ${Math.ceil(1 / smallestWeight)}`,
      });
    }
  }
  return findings;
}

/**
 * A label name belongs to one of services, routes and organisations, so that
 * the labels of a call never conflict.
 */
function checkLabels(sections: sectionTypes.Sections): problems.Finding[] {
  const findings: problems.Finding[] = [];
  const sectionOfLabel = new Map<string, string>();
  for (const section of ['services', 'routes', 'organisations'] as const) {
    for (const {index, item} of sections[section].entries) {
      for (const [label, value] of Object.entries(item.labels)) {
        const path = [section, index, 'labels', label];
        if ((selectors.RESERVED_LABELS as readonly string[]).includes(label)) {
          findings.push({
            path,
            value,
            message: 'is a reserved label, which each call sets by itself',
            remedy: 'Remove the label or rename it',
          });
          continue;
        }
        const other = sectionOfLabel.get(label);
        if (other === undefined) sectionOfLabel.set(label, section);
        else if (other !== section) {
          findings.push({
            path,
            value,
            message: `has a label name that ${other} also set`,
            remedy: `Use different label names for ${other} and ${section}`,
          });
        }
      }
    }
  }
  return findings;
}
