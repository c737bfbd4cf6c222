import * as constants from './constants.js';
import * as expiringMap from './expiring-map.js';
import type * as interfaces from './interfaces.js';

export interface CallRegisterOptions {
  /** Maximum number of calls and tombstones. */
  readonly limit?: number;
}

/**
 * Records calls that this process has started, and tombstones for calls that
 * it has promised never to start. An entry is kept until its call can no
 * longer be started.
 */
export class CallRegister implements interfaces.StartedCalls {
  private readonly entries: expiringMap.ExpiringMap<'started' | 'tombstone'>;

  constructor(options: CallRegisterOptions = {}) {
    this.entries = new expiringMap.ExpiringMap(
      options.limit ?? constants.STARTED_CALL_LIMIT,
    );
  }

  get size(): number {
    return this.entries.size;
  }

  start(
    requestId: string,
    attempt: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'start' | 'duplicate' | 'tombstoned' | 'tableFull' {
    const key = callKey(requestId, attempt);
    const existing = this.entries.get(key, nowMs);
    if (existing) return existing === 'started' ? 'duplicate' : 'tombstoned';
    // A call past its deadline may have had a tombstone that has expired.
    if (nowMs >= keepUntilMs) return 'tombstoned';
    const retainUntilMs = retentionEndMs(keepUntilMs, nowMs);
    return this.entries.set(key, 'started', retainUntilMs, nowMs)
      ? 'start'
      : 'tableFull';
  }

  /** Returns `unknown` when the table is too full to record a tombstone. */
  cancelIfNotStarted(
    call: interfaces.CancelledCall,
    keepUntilMs: number,
    nowMs: number,
  ): 'neverStarts' | 'started' | 'unknown' {
    const key = callKey(call.requestId, call.attempt);
    if (this.entries.get(key, nowMs) === 'started') return 'started';
    const {sentAfterMs} = call;
    // A call that has started may have been recorded right after this reading.
    const mayHaveExpired =
      sentAfterMs === undefined ||
      sentAfterMs > nowMs ||
      nowMs >= sentAfterMs + constants.CALL_RETENTION_MS;
    if (mayHaveExpired) return 'unknown';
    const retainUntilMs = retentionEndMs(keepUntilMs, nowMs);
    const isRecorded = this.entries.set(key, 'tombstone', retainUntilMs, nowMs);
    return isRecorded ? 'neverStarts' : 'unknown';
  }
}

/**
 * Longer than a call frame can be accepted (see `PERMISSION_HEARTBEAT_AGE_MS`),
 * so that no frame of the call outlives its tombstone.
 */
function retentionEndMs(keepUntilMs: number, nowMs: number): number {
  return Math.max(keepUntilMs, nowMs + constants.CALL_RETENTION_MS);
}

function callKey(requestId: string, attempt: number): string {
  return `${attempt}/${requestId}`;
}
