import * as documentIndex from './document-index.js';
import type * as documents from './document.js';
import * as resolution from './policy-resolution.js';
import * as selectors from './selector.js';

/** The properties of a call that determine its route and policies. */
export interface CallDescription {
  readonly service: string;
  /** Upper-case HTTP method. */
  readonly method: string;
  /** The part after the service name, starting with "/". */
  readonly path: string;
  /** Null for a call without a key. */
  readonly organisation: string | null;
}

export interface PolicyExplanation {
  readonly name: string;
  readonly precedence: number;
  /** Whether the policy selects the call. */
  readonly selects: boolean;
  readonly evaluation: selectors.SelectorEvaluation;
}

export type CallExplanation =
  | {
      readonly ok: true;
      readonly route: documents.Route;
      /** Null on open routes. */
      readonly organisation: string | null;
      readonly labels: documents.Labels;
      /** All policies in order of precedence. */
      readonly policies: readonly PolicyExplanation[];
      readonly settings: readonly resolution.SettingSource[];
      readonly effectivePolicy: documents.EffectivePolicy;
    }
  | {
      readonly ok: false;
      readonly reason:
        'unknownService' | 'noRoute' | 'unknownOrganisation' | 'keyRequired';
      readonly message: string;
    };

/** Explains which policies select a call and the source of each setting. */
export function explainCall(
  document: documents.PublishedDocument,
  call: CallDescription,
): CallExplanation {
  const index = new documentIndex.DocumentIndex(document);
  const service = index.service(call.service);
  if (service === null) {
    return {
      ok: false,
      reason: 'unknownService',
      message: `service ${call.service} is not declared; name one of ${document.services.map(item => item.name).join(', ')}`,
    };
  }
  const route = index.matchRoute(call.service, call.method, call.path);
  if (route === null) {
    return {
      ok: false,
      reason: 'noRoute',
      message: `no route of service ${call.service} matches ${call.method} ${call.path}; declare a route for it or correct the method or path`,
    };
  }
  const organisation =
    call.organisation === null ? null : index.organisation(call.organisation);
  if (call.organisation !== null && organisation === null) {
    return {
      ok: false,
      reason: 'unknownOrganisation',
      message: `organisation ${call.organisation} is not declared; declare it or correct the name`,
    };
  }
  if (organisation === null && !route.open) {
    return {
      ok: false,
      reason: 'keyRequired',
      message: `route ${route.name} is not open; name the organisation that calls it`,
    };
  }
  const labels = selectors.collectCallLabels(
    call.service,
    service,
    route,
    organisation,
  );
  const orderedPolicies = resolution.sortByPrecedence(document.policies);
  const settings = resolution.resolveSettings(orderedPolicies, labels, route);
  return {
    ok: true,
    route,
    organisation: labels.get('organisation') ?? null,
    labels: Object.fromEntries(labels),
    policies: orderedPolicies.map(({name, precedence, selector}) => {
      const evaluation = selectors.evaluateSelector(selector, labels);
      return {name, precedence, selects: evaluation.matches, evaluation};
    }),
    settings,
    effectivePolicy: resolution.toEffectivePolicy(settings),
  };
}

/**
 * Returns the settings of one call, or null if it would be refused. Builds an
 * index on each invocation; request handling uses a `DocumentIndex` instead.
 */
export function resolvePolicy(
  document: documents.PublishedDocument,
  call: CallDescription,
): documents.EffectivePolicy | null {
  const explanation = explainCall(document, call);
  return explanation.ok ? explanation.effectivePolicy : null;
}
