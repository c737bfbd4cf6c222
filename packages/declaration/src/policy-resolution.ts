import * as documents from './document.js';
import type * as policyChecks from './policy-checks.js';
import * as schema from './schema.js';
import * as selectors from './selector.js';

type SettingName = keyof documents.PolicySettings;

/** The settings that apply to a service as a whole. */
export type ServicePolicy = Pick<
  documents.EffectivePolicy,
  (typeof policyChecks.SERVICE_SETTINGS)[number]
>;

/** The resolved value of one setting and where it comes from. */
export interface SettingSource {
  readonly setting: SettingName;
  readonly value: number;
  readonly source:
    | {readonly kind: 'policy'; readonly policy: string}
    | {readonly kind: 'route'; readonly route: string}
    | {readonly kind: 'default'};
}

/** Returns the policies by descending precedence, then by name. */
export function sortByPrecedence(
  policies: readonly documents.Policy[],
): documents.Policy[] {
  return [...policies].sort(
    (left, right) =>
      right.precedence - left.precedence || (left.name < right.name ? -1 : 1),
  );
}

/**
 * Resolves every setting of a call. Each setting is taken from the first policy
 * that selects the call and has the setting. Without one, importance is that of
 * the route and the other settings have their defaults.
 *
 * @param orderedPolicies The policies as returned by `sortByPrecedence`.
 */
export function resolveSettings(
  orderedPolicies: readonly documents.Policy[],
  labels: selectors.CallLabels,
  route: Pick<documents.Route, 'name' | 'importance'>,
): SettingSource[] {
  const selected = orderedPolicies.filter(policy =>
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

/** Converts resolved settings to a policy object. */
export function toEffectivePolicy(
  sources: readonly SettingSource[],
): documents.EffectivePolicy {
  // The cast is safe: `resolveSettings` returns one entry for each setting.
  return Object.fromEntries(
    sources.map(({setting, value}) => [setting, value]),
  ) as unknown as documents.EffectivePolicy;
}
