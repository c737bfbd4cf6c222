import * as runtime from '@camphorwharf/runtime';

/** Hashes of the texts met so far; there are few different ones. */
const textWords = new Map<string, number>();

/** Durations are constants; all other fields ending in `Ms` are instants. */
const DURATIONS = new Set([
  'fenceMs',
  'leaseMs',
  'suspectMs',
  'fallbackMs',
  'lifetimeMs',
  'grantLifetimeMs',
  'fillDelayMs',
  'handOverUseMs',
  'averagingMs',
  'wallOffsetMs',
]);

/** Fields that follow from others. */
const DERIVED = new Set([
  'spans',
  'purgedSpan',
  'contacted',
  'trace',
  'factory',
]);

/** Maps from members to instants. */
const INSTANT_MAPS = new Set(['retired', 'lost']);

/** No rule looks further back; the difference no longer matters. */
const HORIZON_MS = 30_000;

/** What the hash is relative to. */
export interface HashBase {
  readonly nowMs: number;
  /** Latest grant sequence number by holder. */
  readonly sequences: ReadonlyMap<string, number>;
}

/**
 * Hashes a state with instants relative to the present and sequence numbers
 * relative to the holder's latest, so that equal situations at different
 * times are one state. Amounts are rounded to 1/1000.
 */
export class StateHasher {
  private high = 0;
  private low = 0;

  constructor(private readonly base: HashBase) {}

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

  private addObject(value: Record<string, unknown>, outer: string): void {
    if ('members' in value) {
      // The identity of a view determines its members.
      this.add(value['identity'], '', '');
      return;
    }
    this.addWord(4);
    const member = value['holder'] as {hostId?: string; incarnation?: string};
    const holder = member?.hostId
      ? `${member.hostId}/${member.incarnation}`
      : outer;
    for (const name of Object.keys(value)) {
      if (DERIVED.has(name)) continue;
      this.add(value[name], name, holder);
    }
  }

  private addNumber(value: number, name: string, holder: string): void {
    if (name === 'sequence') {
      this.addWord(value - (this.base.sequences.get(holder) ?? 0));
    } else if (INSTANT_MAPS.has(name) || isInstant(name)) {
      const age = this.base.nowMs - value;
      this.addWord(age > HORIZON_MS ? HORIZON_MS : Math.round(age));
    } else {
      this.addWord(Math.round(value * 1_000));
    }
  }

  private addText(text: string): void {
    let word = textWords.get(text);
    if (word === undefined) {
      word = Math.floor(runtime.unitHash(text) * 0x1_0000_0000) | 0;
      textWords.set(text, word);
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

function isInstant(name: string): boolean {
  return name.endsWith('Ms') && !DURATIONS.has(name);
}
