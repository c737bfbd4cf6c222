import * as runtime from '@camphorwharf/runtime';
import * as settings from './settings.js';

/** Cache of string hashes; states contain few distinct strings. */
const textHashes = new Map<string, number>();

/**
 * Fields that hold durations. All other fields whose name ends in `Ms` hold
 * instants. The names here and below include private fields of the ownership
 * package, so a rename there has to be repeated here.
 */
const DURATION_FIELDS = new Set([
  'fenceMs',
  'leaseMs',
  'suspectMs',
  'fallbackMs',
  'lifetimeMs',
  'grantLifetimeMs',
  'fillDelayMs',
  'handOverTtlMs',
  'averagingMs',
  'wallOffsetMs',
  'tombstoneMs',
  'maximumWaitMs',
]);

/**
 * Fields left out of the hash: they are derived from other fields, constant, or
 * without effect on later steps.
 */
const DERIVED_FIELDS = new Set([
  'spans',
  'purgedSpan',
  'quorumContext',
  'trace',
  'factory',
]);

/** Fields that map members to instants. */
const INSTANT_MAP_FIELDS = new Set(['retired', 'lost']);

/** Matches the creation time in an idempotency key. */
const KEY_TIMESTAMP = /\d{13}/;

/** No rule looks further back, so that older instants count as equal. */
const MAXIMUM_AGE_MS = 30_000;

/** Values that instants and sequence numbers are hashed relative to. */
export interface HashReference {
  readonly nowMs: number;
  /** Latest grant sequence number by holder. */
  readonly sequences: ReadonlyMap<string, number>;
}

/**
 * Hashes a state with instants relative to the current time and sequence
 * numbers relative to the holder's latest one, so that states that differ only
 * by a shift in time are equal. Amounts are rounded to 1/1000.
 */
export class StateHasher {
  private high = 0;
  private low = 0;

  constructor(private readonly reference: HashReference) {}

  hash(root: unknown): number {
    this.high = 0x811c9dc5;
    this.low = 0x1b873593;
    this.add(root, '', '');
    return (this.high >>> 0) * 0x20_0000 + ((this.low >>> 0) & 0x1f_ffff);
  }

  private add(value: unknown, name: string, holder: string): void {
    if (typeof value === 'number') {
      this.addNumber(value, name, holder);
    } else if (typeof value !== 'object' || value === null) {
      this.addText(String(value));
    } else if (Array.isArray(value)) {
      this.addWord(1);
      for (const item of value) this.add(item, name, holder);
    } else if (value instanceof Map) {
      this.addWord(2);
      for (const [key, item] of value) {
        this.addText(String(key));
        this.add(item, name, String(key));
      }
    } else if (value instanceof Set) {
      this.addWord(3);
      for (const item of value) this.add(item, '', holder);
    } else {
      this.addObject(value as Record<string, unknown>, holder);
    }
  }

  private addObject(
    value: Record<string, unknown>,
    enclosingHolder: string,
  ): void {
    if ('members' in value) {
      // A view is determined by its identity.
      this.add(value['identity'], '', '');
      return;
    }
    this.addWord(4);
    const member = value['holder'] as {hostId?: string; incarnation?: string};
    const holder = member?.hostId
      ? `${member.hostId}/${member.incarnation}`
      : enclosingHolder;
    for (const name of Object.keys(value)) {
      if (DERIVED_FIELDS.has(name)) continue;
      this.add(value[name], name, holder);
    }
  }

  private addNumber(value: number, name: string, holder: string): void {
    if (name === 'sequence') {
      this.addWord(value - (this.reference.sequences.get(holder) ?? 0));
    } else if (INSTANT_MAP_FIELDS.has(name) || isInstantField(name)) {
      const age = this.reference.nowMs - value;
      this.addWord(age > MAXIMUM_AGE_MS ? MAXIMUM_AGE_MS : Math.round(age));
    } else {
      this.addWord(Math.round(value * 1_000));
    }
  }

  private addText(text: string): void {
    const created = text.includes('-k') ? KEY_TIMESTAMP.exec(text) : null;
    if (created) {
      // The creation time in a key is hashed relative to the current time.
      const wallMs = settings.WALL_START_MS + this.reference.nowMs;
      this.addWord(wallMs - Number(created[0]));
      this.addText(text.replace(created[0], ''));
      return;
    }
    let word = textHashes.get(text);
    if (word === undefined) {
      word = Math.floor(runtime.hashToUnitInterval(text) * 0x1_0000_0000) | 0;
      textHashes.set(text, word);
    }
    this.addWord(word);
  }

  private addWord(word: number): void {
    const bits = word === -Infinity || word === Infinity ? 0x7ffffff : word | 0;
    this.high = Math.imul(this.high ^ bits, 0x01000193);
    this.high ^= this.high >>> 15;
    this.low = Math.imul(this.low ^ bits, 0x85ebca6b);
    this.low ^= this.low >>> 13;
  }
}

function isInstantField(name: string): boolean {
  return name.endsWith('Ms') && !DURATION_FIELDS.has(name);
}
