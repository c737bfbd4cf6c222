interface Slot<Value> {
  value: Value;
  keepUntilMs: number;
}

const SPAN_MS = 1_000;

/**
 * A bounded map whose entries end at a given time, rounded up to a second.
 * Entries are never removed early: a full map refuses new ones.
 */
export class ExpiringMap<Value> {
  private readonly slots = new Map<string, Slot<Value>>();
  /** Keys by the second in which they end. */
  private readonly spans = new Map<number, Set<string>>();
  private purgedSpan = -Infinity;

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.slots.size;
  }

  get(key: string, nowMs: number): Value | undefined {
    this.purge(nowMs);
    return this.slots.get(key)?.value;
  }

  /** Adds or replaces an entry; returns false when the map is full. */
  set(key: string, value: Value, keepUntilMs: number, nowMs: number): boolean {
    this.purge(nowMs);
    const known = this.slots.get(key);
    if (known) {
      known.value = value;
      if (keepUntilMs > known.keepUntilMs) this.move(key, known, keepUntilMs);
      return true;
    }
    if (this.slots.size >= this.limit) return false;
    const slot = {value, keepUntilMs};
    this.slots.set(key, slot);
    this.spanOf(keepUntilMs).add(key);
    return true;
  }

  delete(key: string): void {
    const slot = this.slots.get(key);
    if (!slot) return;
    this.slots.delete(key);
    this.removeFromSpan(key, slot.keepUntilMs);
  }

  clear(): void {
    this.slots.clear();
    this.spans.clear();
  }

  *entries(): IterableIterator<[string, Value]> {
    for (const [key, slot] of this.slots) yield [key, slot.value];
  }

  private move(key: string, slot: Slot<Value>, keepUntilMs: number): void {
    this.removeFromSpan(key, slot.keepUntilMs);
    slot.keepUntilMs = keepUntilMs;
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
    const current = Math.floor(nowMs / SPAN_MS);
    if (current <= this.purgedSpan) return;
    this.purgedSpan = current;
    for (const [span, keys] of this.spans) {
      if (span >= current) continue;
      for (const key of keys) this.slots.delete(key);
      this.spans.delete(span);
    }
  }
}
