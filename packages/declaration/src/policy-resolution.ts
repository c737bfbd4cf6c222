import * as documents from './document.js';
import type * as policyChecks from './policy-checks.js';
import * as schema from './schema.js';
import * as selectors from './selector.js';

type SettingName = keyof documents.PolicySettings;

/** The settings that hold for a service as a whole. */
export type ServicePolicy = Pick<
  documents.EffectivePolicy,
  (typeof policyChecks.SERVICE_SETTINGS)[number]
>;

/** Where the value of one setting comes from. */
export interface SettingSource {
  readonly setting: SettingName;
  readonly value: number;
  readonly source:
    | {readonly kind: 'policy'; readonly policy: string}
    | {readonly kind: 'route'; readonly route: string}
    | {readonly kind: 'default'};
}

/** Orders policies by precedence, highest first, then by name. */
export function orderPolicies(
  policies: readonly documents.Policy[],
): documents.Policy[] {
  return [...policies].sort(
    (left, right) =>
      right.precedence - left.precedence || (left.name < right.name ? -1 : 1),
  );
}

/**
 * Resolves every setting of a call. Of the policies that select the call, the
 * first one in order that has a setting decides it; a setting that none has
 * takes the importance of the route or the default.
 *
 * @param ordered The policies in the order of `orderPolicies`.
 */
export function resolveSettings(
  ordered: readonly documents.Policy[],
  labels: selectors.CallLabels,
  route: Pick<documents.Route, 'name' | 'importance'>,
): SettingSource[] {
  const selected = ordered.filter(policy =>
    selectors.selectorMatches(policy.selector, labels),
  );
  return schema.settingNames.map(setting => {
    for (const policy of selected) {
      const value = policy.settings[setting];
      if (value === undefined) continue;
      const source = {kind: 'policy', policy: policy.name} as const;
      return {setting, value, source};
    }
    return setting === 'importance'
      ? {
          setting,
          value: route.importance,
          source: {kind: 'route', route: route.name},
        }
      : {
          setting,
          value: documents.DEFAULT_POLICY[setting],
          source: {kind: 'default'},
        };
  });
}

/** Turns resolved settings into the policy object. */
export function toEffectivePolicy(
  sources: readonly SettingSource[],
): documents.EffectivePolicy {
  // `resolveSettings` returns one source for each setting.
  return Object.fromEntries(
    sources.map(({setting, value}) => [setting, value]),
  ) as unknown as documents.EffectivePolicy;
}
