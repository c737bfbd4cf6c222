/** Destination of a route; weights are relative to their sum. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** A route is selected by host and by the longest matching path prefix. */
export interface Route {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly prefix: string;
  /**
   * Whether a request may be executed more than once. False if the published
   * kind of request is not recognised.
   */
  readonly idempotent: boolean;
  /**
   * The published kind of request if this version of the daemon does not know
   * it; null for a known one.
   */
  readonly unrecognisedKind: string | null;
  /** Request timeout, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Response time objective, in milliseconds, within which a response has its
   * full value.
   */
  readonly objectiveMs: number;
  /** 0 is the most important. */
  readonly priority: number;
  /** Maximum number of backend servers that a request is sent to. */
  readonly maximumAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly destinations: readonly Destination[];
}

export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; null for none. */
  readonly priority: number | null;
  /** Requests per second over the whole fleet; 0 means no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate over the whole fleet. */
  readonly burst: number;
}

/**
 * Whether requests on routes that are not public need the key of an
 * organisation.
 */
export type KeyPolicy =
  /** The configuration does not speak of organisations. */
  | {readonly kind: 'optional'}
  /** Without any organisation, no key is accepted. */
  | {
      readonly kind: 'required';
      readonly organisations: readonly Organisation[];
    };

export interface ServiceSettings {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections to one backend server. */
  readonly maximumConnections: number;
  /** Null if cold servers of the service get as many requests as others. */
  readonly coldStart: ColdStartSettings | null;
}

/** How the servers of a service behave while they are cold. */
export interface ColdStartSettings {
  /** Time that a server is cold, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that a cold server tolerates; may be fractional. */
  readonly perSecond: number;
}

/** Limits on the size and duration of client requests. */
export interface ClientLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/**
 * One version of the complete operator configuration in packages/host-daemon.
 * The counterpart in packages/daemon is `PublishedDocument`.
 */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly keyPolicy: KeyPolicy;
  readonly limits: ClientLimits;
}
