import type * as routing from '@camphorwharf/routing';

/** A backend server of the service `parts`. */
export function backendServer(
  instance: string,
  overrides: Partial<routing.BackendServer> = {},
): routing.BackendServer {
  return {
    instance,
    service: 'parts',
    hostAddress: '10.0.0.1',
    port: 80,
    availabilityZone: 'a',
    slots: 10,
    phase: 'ready',
    coldRemainingMs: 0,
    startedAtMs: null,
    ...overrides,
  };
}
