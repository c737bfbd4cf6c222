import * as protocol from '@camphorwharf/protocol';
import * as fairQueue from './fair-queue.js';
import * as heap from './indexed-heap.js';
import * as waiting from './waiting-call.js';

/** The classes in the order in which they are served. */
export const CLASSES: readonly protocol.ImportanceClass[] = [
  protocol.Importance.critical,
  protocol.Importance.high,
  protocol.Importance.normal,
  protocol.Importance.low,
];

/** Waiting calls of one target: by class, then fair share, then rank. */
export class ImportanceQueue {
  private readonly classes = CLASSES.map(() => new fairQueue.FairQueue());
  private readonly byDeadline = new heap.IndexedHeap<waiting.WaitingCall>(
    (first, second) => first.call.deadlineMs < second.call.deadlineMs,
  );

  get size(): number {
    return this.byDeadline.size;
  }

  push(item: waiting.WaitingCall): void {
    this.classes[item.call.importance].push(item);
    this.byDeadline.put(item);
  }

  pop(): waiting.WaitingCall | undefined {
    for (const queue of this.classes) {
      const item = queue.pop();
      if (item) {
        this.forget(item);
        return item;
      }
    }
    return undefined;
  }

  chargeDirectStart(item: waiting.WaitingCall): void {
    this.classes[item.call.importance].chargeDirectStart(item);
  }

  /**
   * Removes the call to lose when the queue is too long: of the least
   * important class that waits, so that no other class is shed before it.
   */
  removeVictim(): waiting.WaitingCall | undefined {
    for (let index = this.classes.length - 1; index >= 0; index--) {
      const item = this.classes[index].victim();
      if (item) {
        this.remove(item);
        return item;
      }
    }
    return undefined;
  }

  remove(item: waiting.WaitingCall): boolean {
    if (!this.classes[item.call.importance].remove(item)) return false;
    this.forget(item);
    return true;
  }

  /** Removes the calls that waited too long in the item's own share. */
  removeOverdueLike(
    item: waiting.WaitingCall,
    typicalServiceMs: number,
    nowMs: number,
  ): waiting.WaitingCall[] {
    const share = waiting.shareOf(item.call.organisation);
    const queue = this.classes[item.call.importance];
    return this.forgetAll(queue.removeOverdue(share, typicalServiceMs, nowMs));
  }

  /** Removes every call that waited too long. */
  removeOverdue(
    typicalServiceMs: number,
    nowMs: number,
  ): waiting.WaitingCall[] {
    const overdue = this.classes.flatMap(queue =>
      queue
        .waitingShares()
        .flatMap(share => queue.removeOverdue(share, typicalServiceMs, nowMs)),
    );
    return this.forgetAll(overdue);
  }

  setExcess(
    excessOf: (
      importance: protocol.ImportanceClass,
      share: string,
    ) => number | null,
  ): void {
    for (const importance of CLASSES) {
      this.classes[importance].setExcess(share => excessOf(importance, share));
    }
  }

  earliestDeadline(): waiting.WaitingCall | undefined {
    return this.byDeadline.peek();
  }

  private forget(item: waiting.WaitingCall): void {
    this.byDeadline.remove(item);
  }

  private forgetAll(items: waiting.WaitingCall[]): waiting.WaitingCall[] {
    for (const item of items) this.forget(item);
    return items;
  }
}
