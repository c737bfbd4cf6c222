import type * as routing from '@camphorwharf/routing';

/** Decodes what the platform publishes. Both methods throw on bad input. */
export interface StateDecoder {
  /** Throws when the text is no complete configuration. */
  configuration(text: string): routing.FleetConfiguration;
  /** Throws when the text names no backend server to use. */
  backendServer(instance: string, text: string): routing.BackendServer;
}

/** What a reader of the platform reports; texts are as published. */
export interface StateListener {
  configurationRead(text: string, nowMs: number): void;
  /** The whole list, as of one revision of the platform's store. */
  serversRead(
    servers: ReadonlyMap<string, string>,
    revision: number,
    nowMs: number,
  ): void;
  serverChanged(
    instance: string,
    text: string | null,
    revision: number,
    nowMs: number,
  ): void;
  /** Called after each answer and each failure of the platform. */
  contact(succeeded: boolean, nowMs: number): void;
}

/** Reads the platform until the signal aborts. */
export interface StateReader {
  run(listener: StateListener, signal: AbortSignal): Promise<void>;
}

/** The state as one process hands it to another. */
export interface RelayedState {
  readonly configuration: string | null;
  readonly servers: ReadonlyArray<readonly [string, string]>;
  readonly revision: number;
}

/** Returns null when the text is no relayed state. */
export function parseRelayedState(text: string): RelayedState | null {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return null;
  }
  if (typeof value !== 'object' || value === null) return null;
  const {configuration, servers, revision} = value as Record<string, unknown>;
  if (configuration !== null && typeof configuration !== 'string') return null;
  if (typeof revision !== 'number' || !Array.isArray(servers)) return null;
  const isPair = (pair: unknown) =>
    Array.isArray(pair) &&
    typeof pair[0] === 'string' &&
    typeof pair[1] === 'string';
  if (!servers.every(isPair)) return null;
  return value as RelayedState;
}
