import * as constants from './constants.js';
import * as expiringMap from './expiring-map.js';
import type * as interfaces from './interfaces.js';

export interface CallRegisterOptions {
  /** Greatest number of calls and tombstones. */
  readonly limit?: number;
}

/**
 * Calls that this process started and calls that it promised never to start.
 * Each entry stays until the call can no longer be started.
 */
export class CallRegister implements interfaces.StartedCalls {
  private readonly calls: expiringMap.ExpiringMap<'started' | 'tombstone'>;

  constructor(options: CallRegisterOptions = {}) {
    this.calls = new expiringMap.ExpiringMap(
      options.limit ?? constants.STARTED_CALL_LIMIT,
    );
  }

  get size(): number {
    return this.calls.size;
  }

  start(
    requestId: string,
    attempt: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'start' | 'duplicate' | 'tombstoned' | 'tableFull' {
    const key = callKey(requestId, attempt);
    const known = this.calls.get(key, nowMs);
    if (known) return known === 'started' ? 'duplicate' : 'tombstoned';
    // A call past its deadline may have had a tombstone that has ended.
    if (nowMs >= keepUntilMs) return 'tombstoned';
    const endMs = retainedUntilMs(keepUntilMs, nowMs);
    return this.calls.set(key, 'started', endMs, nowMs) ? 'start' : 'tableFull';
  }

  /** Answers `started` when the promise cannot be recorded. */
  cancelIfNotStarted(
    requestId: string,
    attempt: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'neverStarts' | 'started' {
    const key = callKey(requestId, attempt);
    if (this.calls.get(key, nowMs) === 'started') return 'started';
    const endMs = retainedUntilMs(keepUntilMs, nowMs);
    const isRecorded = this.calls.set(key, 'tombstone', endMs, nowMs);
    return isRecorded ? 'neverStarts' : 'started';
  }
}

/** A frame that is still under way may be accepted for the permission time. */
function retainedUntilMs(keepUntilMs: number, nowMs: number): number {
  return Math.max(keepUntilMs, nowMs + 2 * constants.PERMISSION_LIFETIME_MS);
}

function callKey(requestId: string, attempt: number): string {
  return `${attempt}/${requestId}`;
}
