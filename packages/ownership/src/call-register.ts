import * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as expiringMap from './expiring-map.js';
import type * as interfaces from './interfaces.js';

export interface CallRegisterOptions {
  /** Maximum number of calls and tombstones. */
  readonly limit?: number;
  /**
   * Time for which tombstones are kept; `CALL_RETENTION_MS` if absent. An
   * accepted call may wait for 8 s less before it starts.
   */
  readonly tombstoneMs?: number;
}

/**
 * Records calls that this process has started, and tombstones for calls that
 * it has promised never to start. An entry is kept until its call can no
 * longer be started.
 */
export class CallRegister implements interfaces.StartedCalls {
  private readonly tombstoneMs: number;
  /** Within it, a tombstone of an accepted call has not expired. */
  private readonly maximumWaitMs: number;
  private readonly entries: expiringMap.ExpiringMap<'started' | 'tombstone'>;

  constructor(options: CallRegisterOptions = {}) {
    this.entries = new expiringMap.ExpiringMap(
      options.limit ?? constants.STARTED_CALL_LIMIT,
    );
    this.tombstoneMs = options.tombstoneMs ?? constants.CALL_RETENTION_MS;
    this.maximumWaitMs =
      this.tombstoneMs -
      protocol.PERMISSION_HEARTBEAT_AGE_MS -
      protocol.PERMISSION_LIFETIME_MS;
  }

  get size(): number {
    return this.entries.size;
  }

  start(
    requestId: string,
    attempt: number,
    acceptedMs: number,
    keepUntilMs: number,
    nowMs: number,
  ): 'start' | 'duplicate' | 'tombstoned' | 'tableFull' {
    const key = callKey(requestId, attempt);
    const existing = this.entries.get(key, nowMs);
    if (existing) return existing === 'started' ? 'duplicate' : 'tombstoned';
    // The call may have had a tombstone that has expired.
    const hasWaited = nowMs - acceptedMs >= this.maximumWaitMs;
    if (hasWaited || nowMs >= keepUntilMs) return 'tombstoned';
    const retainUntilMs = Math.max(
      keepUntilMs,
      nowMs + constants.CALL_RETENTION_MS,
    );
    return this.entries.set(key, 'started', retainUntilMs, nowMs)
      ? 'start'
      : 'tableFull';
  }

  /** Returns `unknown` when the table is too full to record a tombstone. */
  cancelIfNotStarted(
    call: interfaces.CancelledCall,
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
    const isRecorded = this.entries.set(
      key,
      'tombstone',
      nowMs + this.tombstoneMs,
      nowMs,
    );
    return isRecorded ? 'neverStarts' : 'unknown';
  }
}

function callKey(requestId: string, attempt: number): string {
  return `${attempt}/${requestId}`;
}
