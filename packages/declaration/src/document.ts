/** Labels of a service, route or organisation. */
export type Labels = Readonly<Record<string, string>>;

/** Selects the calls a policy applies to by their labels. */
export type Selector =
  | {
      readonly kind: 'in';
      readonly label: string;
      readonly values: readonly string[];
    }
  | {
      readonly kind: 'notIn';
      readonly label: string;
      readonly values: readonly string[];
    }
  | {readonly kind: 'exists'; readonly label: string}
  | {readonly kind: 'not'; readonly operand: Selector}
  | {readonly kind: 'and'; readonly operands: readonly Selector[]}
  | {readonly kind: 'or'; readonly operands: readonly Selector[]};

export interface Region {
  readonly name: string;
  /** Share of each organisation's rate and burst; the weights sum to 1. */
  readonly weight: number;
  /** Number of cells that own the region's buckets and keys. */
  readonly cells: number;
  readonly availabilityZones: readonly string[];
}

export interface Service {
  readonly name: string;
  readonly labels: Labels;
}

export interface Route {
  readonly name: string;
  readonly service: string;
  /** Upper-case HTTP methods; empty for all. */
  readonly methods: readonly string[];
  /** The route with the longest matching prefix is chosen. */
  readonly pathPrefix: string;
  /** Whether calls without a key are accepted. */
  readonly open: boolean;
  readonly idempotent: boolean;
  /** 0 (shed last) to 3 (shed first). */
  readonly importance: 0 | 1 | 2 | 3;
  readonly labels: Labels;
}

export interface Organisation {
  readonly name: string;
  readonly labels: Labels;
  /** Tokens per second across the fleet. */
  readonly ratePerSecond: number;
  /** Token bucket capacity across the fleet. */
  readonly burst: number;
  /** SHA-256 digests of the keys, lower-case hexadecimal. */
  readonly keyHashes: readonly string[];
}

/** The settings of a policy; others come from policies of lower precedence. */
export interface PolicySettings {
  readonly importance?: 0 | 1 | 2 | 3;
  /** Default timeout, and the maximum a caller may request. */
  readonly timeoutMs?: number;
  /** Retry budget of one request for its entire call chain. */
  readonly retries?: number;
  /** Maximum ratio of retries to first attempts of a service. */
  readonly retryRatio?: number;
  /** Upper limit of the adaptive concurrency limit of one target. */
  readonly maximumConcurrency?: number;
  /** Maximum number of calls queued at one target. */
  readonly maximumQueue?: number;
}

export interface Policy {
  readonly name: string;
  /** Higher values take priority; ties are broken by policy name. */
  readonly precedence: number;
  readonly selector: Selector;
  readonly settings: PolicySettings;
}

/** The document that `compile` creates and the platform publishes. */
export interface PublishedDocument {
  readonly formatVersion: 1;
  /** Increases with each published change; never lowered. */
  readonly revision: number;
  readonly regions: readonly Region[];
  readonly services: readonly Service[];
  readonly routes: readonly Route[];
  readonly organisations: readonly Organisation[];
  readonly policies: readonly Policy[];
}

/** The effective settings of one call, including defaults. */
export type EffectivePolicy = Readonly<Required<PolicySettings>>;

/** Values for settings that no policy sets. */
export const DEFAULT_POLICY: Omit<EffectivePolicy, 'importance'> = {
  timeoutMs: 5_000,
  retries: 3,
  retryRatio: 0.1,
  maximumConcurrency: 1_000,
  maximumQueue: 256,
};
