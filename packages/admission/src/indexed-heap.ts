/** Binary heap that can also remove and reorder any of its items. */
export class IndexedHeap<T> {
  private readonly items: T[] = [];
  private readonly positions = new Map<T, number>();

  /** `before` reports whether the first item leaves the heap first. */
  constructor(private readonly before: (first: T, second: T) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  has(item: T): boolean {
    return this.positions.has(item);
  }

  /** Inserts the item, or restores its place after its order changed. */
  put(item: T): void {
    let position = this.positions.get(item);
    if (position === undefined) {
      position = this.items.length;
      this.items.push(item);
      this.positions.set(item, position);
    }
    if (!this.moveUp(position)) this.moveDown(position);
  }

  pop(): T | undefined {
    const first = this.items[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  /** Returns false when the heap does not hold the item. */
  remove(item: T): boolean {
    const position = this.positions.get(item);
    if (position === undefined) return false;
    const last = this.items.pop()!;
    this.positions.delete(item);
    if (last !== item) {
      this.items[position] = last;
      this.positions.set(last, position);
      if (!this.moveUp(position)) this.moveDown(position);
    }
    return true;
  }

  private moveUp(start: number): boolean {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!this.before(this.items[position], this.items[parent])) break;
      this.swap(position, parent);
      position = parent;
    }
    return position !== start;
  }

  private moveDown(start: number): void {
    let position = start;
    for (;;) {
      let least = position;
      for (const child of [2 * position + 1, 2 * position + 2]) {
        if (
          child < this.items.length &&
          this.before(this.items[child], this.items[least])
        ) {
          least = child;
        }
      }
      if (least === position) return;
      this.swap(position, least);
      position = least;
    }
  }

  private swap(first: number, second: number): void {
    const item = this.items[first];
    this.items[first] = this.items[second];
    this.items[second] = item;
    this.positions.set(this.items[first], first);
    this.positions.set(this.items[second], second);
  }
}
