import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as expiringMap from './expiring-map.js';
import type * as interfaces from './interfaces.js';

interface KeyRecord {
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly payloadDigest: string;
  readonly requestId: string;
  /** Response status; null while the outcome is unknown. */
  readonly status: number | null;
}

export interface KeyRecordsOptions {
  /** Maximum number of records. */
  readonly limit?: number;
}

/** Time after the claim at which no owner's clock can accept the key. */
const RECORD_LIFETIME_MS =
  constants.KEY_RETENTION_MS +
  constants.KEY_FUTURE_LIMIT_MS +
  constants.KEY_RECORD_MARGIN_MS;

const KEY_PATTERN = /^(\d{1,15})-[\x21-\x7e]{1,200}$/;

/** Idempotency records of the keys owned by a member. */
export class KeyRecords implements interfaces.KeyTable {
  private readonly records: expiringMap.ExpiringMap<KeyRecord>;
  /**
   * Largest observed difference between wall clock and monotonic clock. It
   * prevents a wall clock that steps back from making an old key acceptable
   * again after its record has expired.
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
    const wallMs = this.highestWallMs(nowMs, nowWallMs);
    const createdMs = keyCreationMs(request.idempotencyKey);
    if (createdMs === null) return keyAnswer('invalid');
    const key = recordKey(request);
    const existing = this.records.get(key, nowMs);
    if (existing) return answerForExisting(existing, request);
    if (createdMs > nowWallMs + constants.KEY_FUTURE_LIMIT_MS) {
      return keyAnswer('invalid');
    }
    // The former owner accepted keys up to this limit ahead of its clock, so
    // only keys created later are certain to be unknown to it.
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
      return keyAnswer('olderThanOwner');
    }
    const record = {...recordFields(request), status: null};
    const isStored = this.records.set(
      key,
      record,
      nowMs + RECORD_LIFETIME_MS,
      nowMs,
    );
    return keyAnswer(isStored ? 'claimed' : 'tableFull');
  }

  settle(request: protocol.KeySettle, nowMs: number): void {
    const key = recordKey(request);
    const existing = this.records.get(key, nowMs);
    if (!existing || existing.requestId !== request.requestId) return;
    if (existing.status !== null) return;
    switch (request.result.kind) {
      case 'completed': {
        const status = request.result.status;
        this.records.set(key, {...existing, status}, nowMs, nowMs);
        break;
      }
      case 'notRun':
        this.records.delete(key);
        break;
      case 'unknown':
        break;
    }
  }

  drainForHandOver(
    _nowMs: number,
  ): Omit<protocol.KeyHandOver, 'kind' | 'cell'> {
    const records = [...this.records.entries()].map(([, record]) => record);
    this.records.clear();
    return {
      coveredSinceMs: this.coveredSinceMs ?? Number.MAX_SAFE_INTEGER,
      records,
    };
  }

  /**
   * Merges the records of a former owner. The message does not say which
   * shards its sender owned, so a key without a record cannot be assumed to be
   * unused and is still answered as older than this owner.
   */
  receiveHandOver(
    message: protocol.KeyHandOver,
    nowMs: number,
    nowWallMs: number,
  ): void {
    this.highestWallMs(nowMs, nowWallMs);
    for (const record of message.records) {
      const key = recordKey(record);
      const found = this.records.get(key, nowMs);
      if (found && (found.status !== null || record.status === null)) continue;
      this.records.set(
        key,
        {...recordFields(record), status: record.status},
        nowMs + RECORD_LIFETIME_MS,
        nowMs,
      );
    }
  }

  private highestWallMs(nowMs: number, nowWallMs: number): number {
    this.wallOffsetMs = Math.max(this.wallOffsetMs, nowWallMs - nowMs);
    return nowMs + this.wallOffsetMs;
  }
}

function answerForExisting(
  existing: KeyRecord,
  request: protocol.KeyClaim,
): protocol.KeyAnswer {
  if (existing.payloadDigest !== request.payloadDigest) {
    return keyAnswer('payloadDiffers');
  }
  if (existing.status !== null) {
    return {
      kind: 'keyAnswer',
      verdict: {kind: 'completed', status: existing.status},
    };
  }
  const isSameRequest = existing.requestId === request.requestId;
  return keyAnswer(isSameRequest ? 'claimed' : 'inProgress');
}

function keyAnswer(
  kind: Exclude<protocol.KeyAnswer['verdict']['kind'], 'completed'>,
): protocol.KeyAnswer {
  return {kind: 'keyAnswer', verdict: {kind}};
}

/** Returns the creation time in the key, or null if the key is malformed. */
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
