import * as protocol from '@camphorwharf/protocol';
import * as callTicket from './call-ticket.js';
import * as fairQueue from './fair-queue.js';
import * as heap from './indexed-heap.js';

/** Importance classes in the order in which they are served. */
export const CLASSES: readonly protocol.ImportanceClass[] = [
  protocol.Importance.critical,
  protocol.Importance.high,
  protocol.Importance.normal,
  protocol.Importance.low,
];

/** Queue of one target, ordered by importance class, fair share and rank. */
export class ImportanceQueue {
  private readonly classes = CLASSES.map(() => new fairQueue.FairQueue());
  private readonly byDeadline = new heap.IndexedHeap<callTicket.CallTicket>(
    (first, second) => first.call.deadlineMs < second.call.deadlineMs,
  );

  get size(): number {
    return this.byDeadline.size;
  }

  push(ticket: callTicket.CallTicket): void {
    this.classes[ticket.call.importance].push(ticket);
    this.byDeadline.put(ticket);
  }

  pop(): callTicket.CallTicket | undefined {
    for (const queue of this.classes) {
      const ticket = queue.pop();
      if (ticket) {
        this.untrackDeadline(ticket);
        return ticket;
      }
    }
    return undefined;
  }

  chargeDirectStart(ticket: callTicket.CallTicket): void {
    this.classes[ticket.call.importance].chargeDirectStart(ticket);
  }

  /**
   * Evicts a call of the least important class that has queued calls, so that a
   * more important class is never shed first.
   */
  evict(): callTicket.CallTicket | undefined {
    for (let index = this.classes.length - 1; index >= 0; index--) {
      const ticket = this.classes[index].evictionCandidate();
      if (ticket) {
        this.remove(ticket);
        return ticket;
      }
    }
    return undefined;
  }

  remove(ticket: callTicket.CallTicket): boolean {
    if (!this.classes[ticket.call.importance].remove(ticket)) return false;
    this.untrackDeadline(ticket);
    return true;
  }

  /**
   * Removes overdue calls of the share and class that the ticket belongs to.
   */
  removeOverdueInShareOf(
    ticket: callTicket.CallTicket,
    medianServiceMs: number,
    nowMs: number,
  ): callTicket.CallTicket[] {
    const share = callTicket.shareName(ticket.call.organisation);
    const queue = this.classes[ticket.call.importance];
    return this.untrackDeadlines(
      queue.removeOverdue(share, medianServiceMs, nowMs),
    );
  }

  /** Removes the overdue calls of all shares. */
  removeOverdue(
    medianServiceMs: number,
    nowMs: number,
  ): callTicket.CallTicket[] {
    const overdue = this.classes.flatMap(queue =>
      queue
        .waitingShares()
        .flatMap(share => queue.removeOverdue(share, medianServiceMs, nowMs)),
    );
    return this.untrackDeadlines(overdue);
  }

  setDemandRatios(
    demandRatioOf: (
      importance: protocol.ImportanceClass,
      share: string,
    ) => number | null,
  ): void {
    for (const importance of CLASSES) {
      this.classes[importance].setDemandRatios(share =>
        demandRatioOf(importance, share),
      );
    }
  }

  earliestDeadline(): callTicket.CallTicket | undefined {
    return this.byDeadline.peek();
  }

  private untrackDeadline(ticket: callTicket.CallTicket): void {
    this.byDeadline.remove(ticket);
  }

  private untrackDeadlines(
    tickets: callTicket.CallTicket[],
  ): callTicket.CallTicket[] {
    for (const ticket of tickets) this.untrackDeadline(ticket);
    return tickets;
  }
}
