interface Entry<Value> {
  value: Value;
  keepUntilMs: number;
}

/** Width of the intervals by which keys are grouped for expiry. */
const SPAN_MS = 1_000;

/**
 * A bounded map whose entries expire at a given time, rounded up to a full
 * second. Entries are never evicted early; a full map rejects new keys.
 */
export class ExpiringMap<Value> {
  private readonly entriesByKey = new Map<string, Entry<Value>>();
  /** Keys by the second in which they expire. */
  private readonly spans = new Map<number, Set<string>>();
  private purgedSpan = -Infinity;

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entriesByKey.size;
  }

  get(key: string, nowMs: number): Value | undefined {
    this.purge(nowMs);
    return this.entriesByKey.get(key)?.value;
  }

  /** Adds or replaces an entry; returns false when the map is full. */
  set(key: string, value: Value, keepUntilMs: number, nowMs: number): boolean {
    this.purge(nowMs);
    const found = this.entriesByKey.get(key);
    if (found) {
      found.value = value;
      if (keepUntilMs > found.keepUntilMs) this.extend(key, found, keepUntilMs);
      return true;
    }
    if (this.entriesByKey.size >= this.limit) return false;
    const entry = {value, keepUntilMs};
    this.entriesByKey.set(key, entry);
    this.spanOf(keepUntilMs).add(key);
    return true;
  }

  delete(key: string): void {
    const entry = this.entriesByKey.get(key);
    if (!entry) return;
    this.entriesByKey.delete(key);
    this.removeFromSpan(key, entry.keepUntilMs);
  }

  clear(): void {
    this.entriesByKey.clear();
    this.spans.clear();
  }

  *entries(): IterableIterator<[string, Value]> {
    for (const [key, entry] of this.entriesByKey) yield [key, entry.value];
  }

  private extend(key: string, entry: Entry<Value>, keepUntilMs: number): void {
    this.removeFromSpan(key, entry.keepUntilMs);
    entry.keepUntilMs = keepUntilMs;
    this.spanOf(keepUntilMs).add(key);
  }

  private spanOf(keepUntilMs: number): Set<string> {
    const span = Math.floor(keepUntilMs / SPAN_MS);
    let keys = this.spans.get(span);
    if (!keys) {
      keys = new Set();
      this.spans.set(span, keys);
    }
    return keys;
  }

  private removeFromSpan(key: string, keepUntilMs: number): void {
    const span = Math.floor(keepUntilMs / SPAN_MS);
    const keys = this.spans.get(span);
    keys?.delete(key);
    if (keys?.size === 0) this.spans.delete(span);
  }

  private purge(nowMs: number): void {
    const currentSpan = Math.floor(nowMs / SPAN_MS);
    if (currentSpan <= this.purgedSpan) return;
    this.purgedSpan = currentSpan;
    for (const [span, keys] of this.spans) {
      if (span >= currentSpan) continue;
      for (const key of keys) this.entriesByKey.delete(key);
      this.spans.delete(span);
    }
  }
}
