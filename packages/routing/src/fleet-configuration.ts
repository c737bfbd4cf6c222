/** One destination of a route; weights are relative to their sum. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** A route selects by host and by the longest prefix of the path. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time, in milliseconds, that a request is kept waiting. */
  readonly timeoutMs: number;
  /** Time, in milliseconds, within which an answer has its full value. */
  readonly objectiveMs: number;
  /** 0 is the most important. */
  readonly priority: number;
  /** The most backend servers that one request is sent to. */
  readonly maximumAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly destinations: readonly Destination[];
}

export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of the route; null for none. */
  readonly priority: number | null;
  /** Requests per second over the whole fleet; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate over the whole fleet. */
  readonly burst: number;
}

export interface ServiceSettings {
  readonly name: string;
  readonly healthPath: string;
  /** The most connections to one backend server. */
  readonly maximumConnections: number;
}

/** What a client may send and how long it may take. */
export interface ClientLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators configure. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly organisations: readonly Organisation[];
  readonly limits: ClientLimits;
}
