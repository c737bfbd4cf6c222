import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as expiringMap from './expiring-map.js';
import type * as interfaces from './interfaces.js';

interface KeyRecord {
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly payloadDigest: string;
  readonly requestId: string;
  /** Response status; null while the outcome is not known. */
  readonly status: number | null;
}

export interface KeyRecordsOptions {
  /** Greatest number of records. */
  readonly limit?: number;
}

/** Time from the claim until no clock can accept the key any more. */
const RECORD_LIFETIME_MS =
  constants.KEY_RETENTION_MS +
  constants.KEY_FUTURE_LIMIT_MS +
  constants.KEY_RECORD_MARGIN_MS;

const KEY_PATTERN = /^(\d{1,15})-[\x21-\x7e]{1,200}$/;

/** Idempotency records of the keys that a member owns. */
export class KeyRecords implements interfaces.KeyTable {
  private readonly records: expiringMap.ExpiringMap<KeyRecord>;
  /**
   * Greatest difference seen between wall clock and monotonic clock. Using
   * it keeps a wall clock that steps back from making an old key acceptable
   * again after its record has ended.
   */
  private wallOffsetMs = -Infinity;
  /** Keys created before this wall-clock instant are not covered. */
  private coveredSinceMs: number | null = null;

  constructor(options: KeyRecordsOptions = {}) {
    this.records = new expiringMap.ExpiringMap(
      options.limit ?? constants.KEY_RECORD_LIMIT,
    );
  }

  get size(): number {
    return this.records.size;
  }

  claim(
    request: protocol.KeyClaim,
    ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): protocol.KeyAnswer {
    const wallMs = this.latestWallMs(nowMs, nowWallMs);
    const createdMs = keyCreationMs(request.idempotencyKey);
    if (createdMs === null) return answer('invalid');
    const key = recordKey(request);
    const known = this.records.get(key, nowMs);
    if (known) return answerFrom(known, request);
    if (createdMs > nowWallMs + constants.KEY_FUTURE_LIMIT_MS) {
      return answer('invalid');
    }
    // A former owner accepted keys that were ahead of its clock by up to the
    // limit, so only later keys are certain to be unknown to it.
    const coveredSinceMs =
      wallMs - (nowMs - ownerSinceMs) + constants.KEY_FUTURE_LIMIT_MS;
    this.coveredSinceMs = Math.max(
      coveredSinceMs,
      this.coveredSinceMs ?? coveredSinceMs,
    );
    if (
      createdMs < wallMs - constants.KEY_RETENTION_MS ||
      createdMs < coveredSinceMs
    ) {
      return answer('olderThanOwner');
    }
    const record = {...recordFields(request), status: null};
    const isStored = this.records.set(
      key,
      record,
      nowMs + RECORD_LIFETIME_MS,
      nowMs,
    );
    return answer(isStored ? 'claimed' : 'tableFull');
  }

  settle(request: protocol.KeySettle, nowMs: number): void {
    const key = recordKey(request);
    const known = this.records.get(key, nowMs);
    if (!known || known.requestId !== request.requestId) return;
    if (known.status !== null) return;
    switch (request.result.kind) {
      case 'completed': {
        const status = request.result.status;
        this.records.set(key, {...known, status}, nowMs, nowMs);
        break;
      }
      case 'notRun':
        this.records.delete(key);
        break;
      case 'unknown':
        break;
    }
  }

  takeForHandOver(_nowMs: number): Omit<protocol.KeyHandOver, 'kind' | 'cell'> {
    const records = [...this.records.entries()].map(([, record]) => record);
    this.records.clear();
    return {
      coveredSinceMs: this.coveredSinceMs ?? Number.MAX_SAFE_INTEGER,
      records,
    };
  }

  /**
   * Merges the records of a former owner. They only ever add knowledge about
   * their own keys: the message does not say which shards its sender owned,
   * so a key without a record stays older than this owner.
   */
  receiveHandOver(
    message: protocol.KeyHandOver,
    nowMs: number,
    nowWallMs: number,
  ): void {
    this.latestWallMs(nowMs, nowWallMs);
    for (const record of message.records) {
      const key = recordKey(record);
      const known = this.records.get(key, nowMs);
      if (known && (known.status !== null || record.status === null)) continue;
      this.records.set(
        key,
        {...recordFields(record), status: record.status},
        nowMs + RECORD_LIFETIME_MS,
        nowMs,
      );
    }
  }

  private latestWallMs(nowMs: number, nowWallMs: number): number {
    this.wallOffsetMs = Math.max(this.wallOffsetMs, nowWallMs - nowMs);
    return nowMs + this.wallOffsetMs;
  }
}

function answerFrom(
  known: KeyRecord,
  request: protocol.KeyClaim,
): protocol.KeyAnswer {
  if (known.payloadDigest !== request.payloadDigest) {
    return answer('payloadDiffers');
  }
  if (known.status !== null) {
    return {
      kind: 'keyAnswer',
      verdict: {kind: 'completed', status: known.status},
    };
  }
  const isRepeat = known.requestId === request.requestId;
  return answer(isRepeat ? 'claimed' : 'inProgress');
}

function answer(
  kind: Exclude<protocol.KeyAnswer['verdict']['kind'], 'completed'>,
): protocol.KeyAnswer {
  return {kind: 'keyAnswer', verdict: {kind}};
}

/** Returns when the caller created the key; null when its form is wrong. */
function keyCreationMs(idempotencyKey: string): number | null {
  const match = KEY_PATTERN.exec(idempotencyKey);
  return match ? Number(match[1]) : null;
}

function recordKey(record: {
  readonly organisation: string;
  readonly idempotencyKey: string;
}): string {
  return `${record.organisation}\n${record.idempotencyKey}`;
}

function recordFields(record: Omit<KeyRecord, 'status'>) {
  return {
    organisation: record.organisation,
    idempotencyKey: record.idempotencyKey,
    payloadDigest: record.payloadDigest,
    requestId: record.requestId,
  };
}
