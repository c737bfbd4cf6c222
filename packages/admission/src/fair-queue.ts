import * as callTicket from './call-ticket.js';
import * as heap from './indexed-heap.js';
import * as shareExcess from './share-excess.js';
import * as sojournControl from './sojourn-control.js';

/** Maximum number of idle flows kept, to bound the table. */
const MAXIMUM_IDLE_FLOWS = 512;

/** Minimum weight; keeps start tags finite for a rate of 0. */
const MINIMUM_WEIGHT = 1e-6;

/** Queued calls of one organisation within an importance class. */
class Flow {
  /** Virtual start time of the flow's next call. */
  startTag = 0;
  weight = 1;
  /** Ratio of measured demand to fair share; null while nothing is shed. */
  demandRatio: number | null = null;
  readonly byRank = new heap.IndexedHeap<callTicket.CallTicket>(
    callTicket.isServedBefore,
  );
  readonly byRankDescending = new heap.IndexedHeap<callTicket.CallTicket>(
    (first, second) => callTicket.isServedBefore(second, first),
  );

  readonly byArrival = new heap.IndexedHeap<callTicket.CallTicket>(
    (first, second) => first.sequence < second.sequence,
  );
  readonly sojourn = new sojournControl.SojournControl();

  constructor(
    readonly name: string,
    readonly sequence: number,
  ) {}

  /**
   * Orders flows for eviction; the largest value is evicted first. The queue
   * length alone would select an organisation that sends a short burst within
   * its share.
   */
  get weightedBacklog(): number {
    const factor = Math.max(1, this.demandRatio ?? 1);
    return (this.byRank.size / this.weight) * factor;
  }

  maximumSojournMs(medianServiceMs: number, nowMs: number): number {
    const degree =
      this.demandRatio === null
        ? Number(this.sojourn.isStanding(nowMs))
        : shareExcess.sheddingDegree(this.demandRatio);
    return sojournControl.maximumSojournMs(degree, medianServiceMs);
  }
}

/**
 * Start-time fair queue of one importance class. Organisations are served in
 * proportion to their weights, and the calls of one organisation by rank,
 * lowest first.
 */
export class FairQueue {
  private readonly flows = new Map<string, Flow>();
  private readonly byStartTag = new heap.IndexedHeap<Flow>((first, second) =>
    first.startTag !== second.startTag
      ? first.startTag < second.startTag
      : first.sequence < second.sequence,
  );
  private readonly byWeightedBacklog = new heap.IndexedHeap<Flow>(
    (first, second) =>
      first.weightedBacklog !== second.weightedBacklog
        ? first.weightedBacklog > second.weightedBacklog
        : first.sequence < second.sequence,
  );
  private virtualTime = 0;
  private flowSequence = 0;
  private count = 0;
  private demandRatioOf: (share: string) => number | null = () => null;

  get size(): number {
    return this.count;
  }

  /** Number of tracked organisations, with and without queued calls. */
  get flowCount(): number {
    return this.flows.size;
  }

  push(ticket: callTicket.CallTicket): void {
    const flow = this.flowOf(ticket);
    flow.sojourn.noteEnqueue(ticket.offeredAtMs);
    flow.byRank.put(ticket);
    flow.byRankDescending.put(ticket);
    flow.byArrival.put(ticket);
    this.count++;
    this.byStartTag.put(flow);
    this.byWeightedBacklog.put(flow);
  }

  /** Removes the next call to start and charges its organisation. */
  pop(): callTicket.CallTicket | undefined {
    const flow = this.byStartTag.peek();
    const ticket = flow?.byRank.peek();
    if (!flow || !ticket) return undefined;
    this.charge(flow);
    this.removeFromFlow(flow, ticket);
    return ticket;
  }

  /** Charges a call that starts without being queued. */
  chargeDirectStart(ticket: callTicket.CallTicket): void {
    this.charge(this.flowOf(ticket));
  }

  /**
   * Returns the call with the highest rank in the flow with the largest
   * weighted backlog.
   */
  evictionCandidate(): callTicket.CallTicket | undefined {
    return this.byWeightedBacklog.peek()?.byRankDescending.peek();
  }

  /**
   * Removes and returns the calls of a share that exceed its maximum sojourn
   * time.
   */
  removeOverdue(
    share: string,
    medianServiceMs: number,
    nowMs: number,
  ): callTicket.CallTicket[] {
    const flow = this.flows.get(share);
    const overdue: callTicket.CallTicket[] = [];
    if (!flow) return overdue;
    const maximumMs = flow.maximumSojournMs(medianServiceMs, nowMs);
    for (;;) {
      const ticket = flow.byArrival.peek();
      if (!ticket || nowMs - ticket.offeredAtMs <= maximumMs) return overdue;
      this.removeFromFlow(flow, ticket);
      overdue.push(ticket);
    }
  }

  /** Updates the ratio of measured demand to fair share for every share. */
  setDemandRatios(demandRatioOf: (share: string) => number | null): void {
    this.demandRatioOf = demandRatioOf;
    for (const flow of this.flows.values()) {
      flow.demandRatio = demandRatioOf(flow.name);
      if (this.byWeightedBacklog.has(flow)) this.byWeightedBacklog.put(flow);
    }
  }

  /** Returns the names of the shares with queued calls. */
  waitingShares(): string[] {
    const names: string[] = [];
    for (const flow of this.flows.values()) {
      if (flow.byRank.size > 0) names.push(flow.name);
    }
    return names;
  }

  remove(ticket: callTicket.CallTicket): boolean {
    const flow = this.flows.get(callTicket.shareName(ticket.call.organisation));
    if (!flow?.byRank.has(ticket)) return false;
    this.removeFromFlow(flow, ticket);
    return true;
  }

  private flowOf(ticket: callTicket.CallTicket): Flow {
    const name = callTicket.shareName(ticket.call.organisation);
    let flow = this.flows.get(name);
    if (!flow) {
      this.evictIdleFlows();
      flow = new Flow(name, this.flowSequence++);
      flow.demandRatio = this.demandRatioOf(name);
      this.flows.set(name, flow);
    }
    flow.weight = Math.max(ticket.call.weight, MINIMUM_WEIGHT);
    if (flow.byRank.size === 0) {
      flow.startTag = Math.max(flow.startTag, this.virtualTime);
    }
    return flow;
  }

  private charge(flow: Flow): void {
    this.virtualTime = Math.max(this.virtualTime, flow.startTag);
    flow.startTag += 1 / flow.weight;
    if (this.byStartTag.has(flow)) this.byStartTag.put(flow);
  }

  private removeFromFlow(flow: Flow, ticket: callTicket.CallTicket): void {
    flow.byRank.remove(ticket);
    flow.byRankDescending.remove(ticket);
    flow.byArrival.remove(ticket);
    this.count--;
    if (flow.byRank.size > 0) {
      this.byWeightedBacklog.put(flow);
    } else {
      flow.sojourn.noteEmpty();
      this.byStartTag.remove(flow);
      this.byWeightedBacklog.remove(flow);
    }
  }

  /**
   * Removes all idle flows once there are too many. An organisation whose start
   * tag is ahead of the virtual time gains at most one call by its removal.
   */
  private evictIdleFlows(): void {
    if (this.flows.size - this.byStartTag.size < MAXIMUM_IDLE_FLOWS) return;
    for (const flow of this.flows.values()) {
      if (flow.byRank.size === 0) this.flows.delete(flow.name);
    }
  }
}
