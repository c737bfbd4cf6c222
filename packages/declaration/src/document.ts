/** Labels of a service, route or organisation. */
export type Labels = Readonly<Record<string, string>>;

/** Selects what a policy covers, by labels or by the reserved label names. */
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
  /** Part of each organisation's rate and burst; all weights add up to 1. */
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
  /** The longest matching prefix of the path wins. */
  readonly pathPrefix: string;
  /** Whether calls without a key are served. */
  readonly open: boolean;
  readonly idempotent: boolean;
  /** 0 (shed last) to 3 (shed first). */
  readonly importance: 0 | 1 | 2 | 3;
  readonly labels: Labels;
}

export interface Organisation {
  readonly name: string;
  readonly labels: Labels;
  /** Tokens per second over the whole fleet. */
  readonly ratePerSecond: number;
  /** Most tokens that may be spent at once over the whole fleet. */
  readonly burst: number;
  /** SHA-256 digests of the granted keys, lowercase hexadecimal. */
  readonly keyHashes: readonly string[];
}

/** What a policy sets; absent members leave lower-precedence values. */
export interface PolicySettings {
  readonly importance?: 0 | 1 | 2 | 3;
  /** Deadline when the caller names none, and the most it may ask for. */
  readonly timeoutMs?: number;
  /** Retry budget of one request over its whole call chain. */
  readonly retries?: number;
  /** Retries of a service as a part of its first attempts. */
  readonly retryRatio?: number;
  /** Upper bound of the learned concurrency of one target. */
  readonly maximumConcurrency?: number;
  /** Upper bound of calls waiting at one target. */
  readonly maximumQueue?: number;
}

export interface Policy {
  readonly name: string;
  /** Higher goes first; equal precedence is ordered by policy name. */
  readonly precedence: number;
  readonly selector: Selector;
  readonly settings: PolicySettings;
}

/** The document that `compile` writes and the platform publishes. */
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

/** The settings in force for one call, with every default filled in. */
export type EffectivePolicy = Readonly<Required<PolicySettings>>;

/** Values for settings that no policy sets. */
export const DEFAULT_POLICY: Omit<EffectivePolicy, 'importance'> = {
  timeoutMs: 5_000,
  retries: 3,
  retryRatio: 0.1,
  maximumConcurrency: 1_000,
  maximumQueue: 256,
};
