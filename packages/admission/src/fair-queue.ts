import * as heap from './indexed-heap.js';
import * as shareExcess from './share-excess.js';
import * as sojournControl from './sojourn-control.js';
import * as waiting from './waiting-call.js';

/** Idle flows that are remembered, so that the table stays bounded. */
const MAXIMUM_IDLE_FLOWS = 512;

/** The smallest weight; keeps tags finite for a rate of zero. */
const MINIMUM_WEIGHT = 1e-6;

/** One organisation's waiting calls inside a class. */
class Flow {
  /** Virtual time at which the next call of this flow starts. */
  startTag = 0;
  weight = 1;
  /** Measured demand over fair share; null while nothing is shed. */
  demandExcess: number | null = null;
  readonly bestFirst = new heap.IndexedHeap<waiting.WaitingCall>(
    waiting.ranksBefore,
  );
  readonly worstFirst = new heap.IndexedHeap<waiting.WaitingCall>(
    (first, second) => waiting.ranksBefore(second, first),
  );

  readonly oldestFirst = new heap.IndexedHeap<waiting.WaitingCall>(
    (first, second) => first.sequence < second.sequence,
  );
  readonly sojourn = new sojournControl.SojournControl();

  constructor(
    readonly name: string,
    readonly sequence: number,
  ) {}

  /**
   * The largest exceeds its share most. Queued calls alone would name an
   * organisation within its share that sends a short burst.
   */
  get excess(): number {
    const factor = Math.max(1, this.demandExcess ?? 1);
    return (this.bestFirst.size / this.weight) * factor;
  }

  longestSojournMs(typicalServiceMs: number, nowMs: number): number {
    const degree =
      this.demandExcess === null
        ? Number(this.sojourn.stands(nowMs))
        : shareExcess.cutDegree(this.demandExcess);
    return sojournControl.longestSojournMs(degree, typicalServiceMs);
  }
}

/**
 * Start-time fair queue of one importance class. Organisations share in
 * proportion to their weights; inside one, the lowest rank goes first.
 */
export class FairQueue {
  private readonly flows = new Map<string, Flow>();
  private readonly byStartTag = new heap.IndexedHeap<Flow>((first, second) =>
    first.startTag !== second.startTag
      ? first.startTag < second.startTag
      : first.sequence < second.sequence,
  );
  private readonly byExcess = new heap.IndexedHeap<Flow>((first, second) =>
    first.excess !== second.excess
      ? first.excess > second.excess
      : first.sequence < second.sequence,
  );
  private virtualTime = 0;
  private flowSequence = 0;
  private count = 0;
  private excessOf: (share: string) => number | null = () => null;

  get size(): number {
    return this.count;
  }

  /** Organisations remembered, with and without waiting calls. */
  get flowCount(): number {
    return this.flows.size;
  }

  push(item: waiting.WaitingCall): void {
    const flow = this.flowOf(item);
    flow.sojourn.noteWaiting(item.offeredMs);
    flow.bestFirst.put(item);
    flow.worstFirst.put(item);
    flow.oldestFirst.put(item);
    this.count++;
    this.byStartTag.put(flow);
    this.byExcess.put(flow);
  }

  /** Removes the call to start next and charges its organisation. */
  pop(): waiting.WaitingCall | undefined {
    const flow = this.byStartTag.peek();
    const item = flow?.bestFirst.peek();
    if (!flow || !item) return undefined;
    this.charge(flow);
    this.detach(flow, item);
    return item;
  }

  /** Charges a call that starts without waiting. */
  chargeDirectStart(item: waiting.WaitingCall): void {
    this.charge(this.flowOf(item));
  }

  /** The least important call of the organisation furthest above its share. */
  victim(): waiting.WaitingCall | undefined {
    return this.byExcess.peek()?.worstFirst.peek();
  }

  /** Removes and returns the calls of one share that have waited too long. */
  removeOverdue(
    share: string,
    typicalServiceMs: number,
    nowMs: number,
  ): waiting.WaitingCall[] {
    const flow = this.flows.get(share);
    const overdue: waiting.WaitingCall[] = [];
    if (!flow) return overdue;
    const longestMs = flow.longestSojournMs(typicalServiceMs, nowMs);
    for (;;) {
      const item = flow.oldestFirst.peek();
      if (!item || nowMs - item.offeredMs <= longestMs) return overdue;
      this.detach(flow, item);
      overdue.push(item);
    }
  }

  /** Takes the measured demand over fair share of each share. */
  setExcess(excessOf: (share: string) => number | null): void {
    this.excessOf = excessOf;
    for (const flow of this.flows.values()) {
      flow.demandExcess = excessOf(flow.name);
      if (this.byExcess.has(flow)) this.byExcess.put(flow);
    }
  }

  /** Names of the shares that have calls waiting. */
  waitingShares(): string[] {
    const names: string[] = [];
    for (const flow of this.flows.values()) {
      if (flow.bestFirst.size > 0) names.push(flow.name);
    }
    return names;
  }

  remove(item: waiting.WaitingCall): boolean {
    const flow = this.flows.get(waiting.shareOf(item.call.organisation));
    if (!flow?.bestFirst.has(item)) return false;
    this.detach(flow, item);
    return true;
  }

  private flowOf(item: waiting.WaitingCall): Flow {
    const name = waiting.shareOf(item.call.organisation);
    let flow = this.flows.get(name);
    if (!flow) {
      this.forgetIdleFlows();
      flow = new Flow(name, this.flowSequence++);
      flow.demandExcess = this.excessOf(name);
      this.flows.set(name, flow);
    }
    flow.weight = Math.max(item.call.weight, MINIMUM_WEIGHT);
    if (flow.bestFirst.size === 0) {
      flow.startTag = Math.max(flow.startTag, this.virtualTime);
    }
    return flow;
  }

  private charge(flow: Flow): void {
    this.virtualTime = Math.max(this.virtualTime, flow.startTag);
    flow.startTag += 1 / flow.weight;
    if (this.byStartTag.has(flow)) this.byStartTag.put(flow);
  }

  private detach(flow: Flow, item: waiting.WaitingCall): void {
    flow.bestFirst.remove(item);
    flow.worstFirst.remove(item);
    flow.oldestFirst.remove(item);
    this.count--;
    if (flow.bestFirst.size > 0) {
      this.byExcess.put(flow);
    } else {
      flow.sojourn.noteEmpty();
      this.byStartTag.remove(flow);
      this.byExcess.remove(flow);
    }
  }

  /**
   * Drops all idle flows once there are too many. One that is ahead of the
   * virtual time gains at most one call by being forgotten.
   */
  private forgetIdleFlows(): void {
    if (this.flows.size - this.byStartTag.size < MAXIMUM_IDLE_FLOWS) return;
    for (const flow of this.flows.values()) {
      if (flow.bestFirst.size === 0) this.flows.delete(flow.name);
    }
  }
}
