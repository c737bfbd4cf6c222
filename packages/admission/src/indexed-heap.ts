/** Binary heap that supports removal and reordering of arbitrary items. */
export class IndexedHeap<T> {
  private readonly items: T[] = [];
  private readonly positions = new Map<T, number>();

  /** `precedes` returns whether the first item is popped before the second. */
  constructor(private readonly precedes: (first: T, second: T) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  has(item: T): boolean {
    return this.positions.has(item);
  }

  /** Inserts an item, or moves it after its sort key has changed. */
  put(item: T): void {
    let position = this.positions.get(item);
    if (position === undefined) {
      position = this.items.length;
      this.items.push(item);
      this.positions.set(item, position);
    }
    if (!this.siftUp(position)) this.siftDown(position);
  }

  pop(): T | undefined {
    const first = this.items[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  /** Returns false if the heap does not contain the item. */
  remove(item: T): boolean {
    const position = this.positions.get(item);
    if (position === undefined) return false;
    const last = this.items.pop()!;
    this.positions.delete(item);
    if (last !== item) {
      this.items[position] = last;
      this.positions.set(last, position);
      if (!this.siftUp(position)) this.siftDown(position);
    }
    return true;
  }

  private siftUp(start: number): boolean {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!this.precedes(this.items[position], this.items[parent])) break;
      this.swap(position, parent);
      position = parent;
    }
    return position !== start;
  }

  private siftDown(start: number): void {
    let position = start;
    for (;;) {
      let smallest = position;
      for (const child of [2 * position + 1, 2 * position + 2]) {
        if (
          child < this.items.length &&
          this.precedes(this.items[child], this.items[smallest])
        ) {
          smallest = child;
        }
      }
      if (smallest === position) return;
      this.swap(position, smallest);
      position = smallest;
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
