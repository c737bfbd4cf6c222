import * as fc from 'fast-check';

import type * as declaration from '../index.js';

const serviceNames = ['catalogue', 'bookings', 'billing'];
const organisationNames = ['alpha', 'beta', 'gamma', 'delta'];
const prefixes = ['/', '/parts', '/parts/wheels', '/orders'];
const importance = fc.constantFrom(0, 1, 2, 3) as fc.Arbitrary<0 | 1 | 2 | 3>;

const labelsWith = (name: string) =>
  fc.oneof(
    fc.constant({}),
    fc.constantFrom('x', 'y').map(value => ({[name]: value})),
  );

/** Generates selectors over labels that `declarations` may set. */
function selectors(
  labelNames: readonly string[],
): fc.Arbitrary<declaration.Selector> {
  const label = fc.constantFrom(...labelNames);
  const values = fc.uniqueArray(fc.constantFrom('x', 'y', 'z'), {minLength: 1});
  const leaf: fc.Arbitrary<declaration.Selector> = fc.oneof(
    fc.record({kind: fc.constant('in' as const), label, values}),
    fc.record({kind: fc.constant('notIn' as const), label, values}),
    fc.record({kind: fc.constant('exists' as const), label}),
    fc.record({
      kind: fc.constant('in' as const),
      label: fc.constant('service'),
      values: fc.constant(['catalogue']),
    }),
  );
  const {selector} = fc.letrec<{selector: declaration.Selector}>(tie => ({
    selector: fc.oneof(
      {maxDepth: 4},
      leaf,
      fc.record({kind: fc.constant('not' as const), operand: tie('selector')}),
      fc.record({
        kind: fc.constantFrom('and' as const, 'or' as const),
        operands: fc.array(tie('selector'), {minLength: 1, maxLength: 3}),
      }),
    ),
  }));
  return selector;
}

/** Generates valid declarations with overlapping policies. */
export const declarations: fc.Arbitrary<declaration.Declaration> = fc
  .record({
    weights: fc.constantFrom([1], [0.5, 0.5], [0.7, 0.2, 0.1]),
    services: fc.tuple(...serviceNames.map(() => labelsWith('tier'))),
    routes: fc.uniqueArray(
      fc.record({
        service: fc.constantFrom(...serviceNames),
        methods: fc.constantFrom([], ['GET', 'HEAD'], ['POST']),
        pathPrefix: fc.constantFrom(...prefixes),
        open: fc.boolean(),
        idempotent: fc.boolean(),
        importance,
        labels: labelsWith('purpose'),
      }),
      {
        selector: route =>
          `${route.service} ${route.pathPrefix} ${route.methods.join()}`,
        minLength: 1,
        maxLength: 8,
      },
    ),
    organisations: fc.subarray(organisationNames),
    sizes: fc.tuple(...organisationNames.map(() => labelsWith('size'))),
    ratePerSecond: fc.double({min: 0.001, max: 10_000_000, noNaN: true}),
    policies: fc.array(
      fc.record({
        precedence: fc.integer({min: -2, max: 2}),
        selector: selectors(['tier', 'purpose', 'size', 'organisation']),
        settings: fc.record(
          {
            importance,
            timeoutMs: fc.integer({min: 1, max: 300_000}),
            retries: fc.integer({min: 0, max: 10}),
          },
          {requiredKeys: ['retries']},
        ),
      }),
      {maxLength: 8},
    ),
  })
  .map(parts => ({
    regions: parts.weights.map((weight, index) => ({
      name: `region-${index}`,
      weight,
      cells: index + 1,
      availabilityZones: [`zone-${index}-b`, `zone-${index}-a`],
    })),
    services: serviceNames.map((name, index) => ({
      name,
      // The first service sets the label, so that selectors may use it.
      labels: {...parts.services[index], ...(index === 0 ? {tier: 'x'} : {})},
    })),
    routes: parts.routes.map((route, index) => ({
      ...route,
      name: `route-${index}`,
      labels: {...route.labels, ...(index === 0 ? {purpose: 'x'} : {})},
    })),
    organisations: ['omega', ...parts.organisations].map((name, index) => ({
      name,
      labels: index === 0 ? {size: 'x'} : {...parts.sizes[index - 1]},
      ratePerSecond: parts.ratePerSecond,
      burst: 100,
      keyHashes: [index, index + 8].map(n => n.toString(16).repeat(64)),
    })),
    policies: parts.policies.map((policy, index) => ({
      ...policy,
      name: `policy-${index}`,
      selector: renameOrganisations(policy.selector),
    })),
  }));

/**
 * Replaces values of the label `organisation` by a declared name: the label is
 * reserved, and its values have to be declared names.
 */
function renameOrganisations(
  selector: declaration.Selector,
): declaration.Selector {
  switch (selector.kind) {
    case 'in':
    case 'notIn':
      return selector.label === 'organisation'
        ? {...selector, values: ['omega']}
        : selector;
    case 'exists':
      return selector;
    case 'not':
      return {...selector, operand: renameOrganisations(selector.operand)};
    case 'and':
    case 'or':
      return {
        ...selector,
        operands: selector.operands.map(renameOrganisations),
      };
  }
}

/** Converts a selector to its TOML form. */
export function toTomlSelector(
  selector: declaration.Selector,
): Record<string, unknown> {
  switch (selector.kind) {
    case 'in':
    case 'notIn':
      return {label: selector.label, [selector.kind]: selector.values};
    case 'exists':
      return {label: selector.label, exists: true};
    case 'not':
      return {not: toTomlSelector(selector.operand)};
    case 'and':
    case 'or':
      return {[selector.kind]: selector.operands.map(toTomlSelector)};
  }
}
