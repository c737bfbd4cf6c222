import type * as problems from './problem.js';
import * as policyChecks from './policy-checks.js';
import type * as sectionTypes from './sections.js';
import * as selectors from './selector.js';
import type * as cooperativeTask from './cooperative-task.js';

/** Tolerance for rounding errors in the sum of the region weights. */
const WEIGHT_SUM_TOLERANCE = 1e-9;

const CHECKS = [
  checkDuplicateNames,
  checkRegions,
  checkRoutes,
  checkOrganisations,
  checkLabels,
  policyChecks.checkPolicies,
];

/** Checks constraints across items: references, uniqueness and sums. */
export function* crossCheck(
  sections: sectionTypes.Sections,
): cooperativeTask.CooperativeTask<problems.Finding[]> {
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
    const firstIndexByName = new Map<string, number>();
    for (const {index, item} of entries) {
      const first = firstIndexByName.get(item.name);
      if (first === undefined) firstIndexByName.set(item.name, index);
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
  const regionByZone = new Map<string, string>();
  let weightSum = 0;
  for (const {index, item} of regions.entries) {
    weightSum += item.weight;
    item.availabilityZones.forEach((zone, position) => {
      const region = regionByZone.get(zone);
      if (region === undefined) regionByZone.set(zone, item.name);
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
  // Keyed by service, prefix and method ("" for all methods). Each key has one
  // route, so that at most one route matches a call.
  const routeByMethod = new Map<string, string>();
  for (const {index, item} of routes.entries) {
    // If no service name could be read, that section already has a finding.
    const hasServiceNames = services.complete || services.names.size > 0;
    if (hasServiceNames && !services.names.has(item.service)) {
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
      const other = routeByMethod.get(key);
      if (other === undefined) {
        routeByMethod.set(key, item.name);
        return;
      }
      const isDuplicate = other === item.name;
      findings.push({
        path: ['routes', index, 'methods', position],
        value: method === '' ? undefined : method,
        message: isDuplicate
          ? 'is listed twice'
          : `overlaps with route ${other}, which has the same service, path prefix and method`,
        remedy: isDuplicate
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
  const organisationByKeyHash = new Map<string, string>();
  const smallestWeight = regions.entries.reduce(
    (smallest, {item}) => Math.min(smallest, item.weight),
    1,
  );
  for (const {index, item} of organisations.entries) {
    item.keyHashes.forEach((hash, position) => {
      const other = organisationByKeyHash.get(hash);
      if (other === undefined) organisationByKeyHash.set(hash, item.name);
      else {
        findings.push({
          path: ['organisations', index, 'keyHashes', position],
          value: hash,
          message: `is already a key hash of organisation ${other}`,
          remedy: 'Give each key to one organisation, and list it once',
        });
      }
    });
    // A token bucket with a capacity below one token would refuse every call.
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
 * Checks that each label name is used in only one of services, routes and
 * organisations, so that the labels of a call never conflict.
 */
function checkLabels(sections: sectionTypes.Sections): problems.Finding[] {
  const findings: problems.Finding[] = [];
  const sectionByLabel = new Map<string, string>();
  for (const section of ['services', 'routes', 'organisations'] as const) {
    for (const {index, item} of sections[section].entries) {
      for (const [label, value] of Object.entries(item.labels)) {
        const path = [section, index, 'labels', label];
        if ((selectors.RESERVED_LABELS as readonly string[]).includes(label)) {
          findings.push({
            path,
            value,
            message:
              'is a reserved label, which is set implicitly for each call',
            remedy: 'Remove the label or rename it',
          });
          continue;
        }
        const other = sectionByLabel.get(label);
        if (other === undefined) sectionByLabel.set(label, section);
        else if (other !== section) {
          findings.push({
            path,
            value,
            message: `is a label name that ${other} already use`,
            remedy: `Use different label names for ${other} and ${section}`,
          });
        }
      }
    }
  }
  return findings;
}
