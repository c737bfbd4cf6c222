/** A fault, a call or another event that is applied at a time step. */
export type Action =
  | {readonly kind: 'none'}
  | {
      readonly kind: 'partition';
      readonly group: readonly string[];
      readonly durationMs: number;
    }
  | {
      readonly kind: 'lose' | 'duplicate';
      readonly from: string;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'delay';
      readonly from: string;
      readonly durationMs: number;
      readonly byMs: number;
    }
  | {
      readonly kind: 'pause';
      readonly host: string;
      readonly durationMs: number;
    }
  | {readonly kind: 'restart' | 'leave' | 'unlist'; readonly host: string}
  | {readonly kind: 'replace'; readonly host: string; readonly by: string}
  | {
      readonly kind: 'platform';
      readonly mode: 'stale' | 'down';
      readonly durationMs: number;
    }
  | {readonly kind: 'publish'}
  | {readonly kind: 'demand'; readonly host: string; readonly on: boolean}
  | {readonly kind: 'call'; readonly host: string; readonly key: number};

/** Formats an action for a trace. */
export function formatAction(action: Action): string {
  const {kind, ...details} = action;
  const values = Object.values(details).map(detail => String(detail));
  return [kind, ...values].join(' ');
}

/**
 * Lists every fault that the exhaustive searches can inject. A host is replaced
 * by `spare` only when `spare` is not already running.
 */
export function faultActions(
  hosts: readonly string[],
  spare: string,
): Action[] {
  const faults: Action[] = [];
  for (const host of hosts) {
    faults.push(
      {kind: 'pause', host, durationMs: 2_500},
      {kind: 'pause', host, durationMs: 6_000},
      {kind: 'restart', host},
      {kind: 'partition', group: [host], durationMs: 4_000},
      {kind: 'partition', group: [host], durationMs: 8_000},
      {kind: 'lose', from: host, durationMs: 4_000},
      {kind: 'delay', from: host, durationMs: 1_000, byMs: 1_500},
      {kind: 'delay', from: host, durationMs: 1_000, byMs: 6_000},
      // Longer than a tombstone is kept.
      {kind: 'delay', from: host, durationMs: 1_000, byMs: 18_000},
      {kind: 'duplicate', from: host, durationMs: 1_000},
      {kind: 'leave', host},
      {kind: 'unlist', host},
      {kind: 'demand', host, on: true},
    );
    if (!hosts.includes(spare)) faults.push({kind: 'replace', host, by: spare});
  }
  faults.push(
    {kind: 'platform', mode: 'stale', durationMs: 8_000},
    {kind: 'platform', mode: 'down', durationMs: 8_000},
  );
  return faults;
}
