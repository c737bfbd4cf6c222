import type * as protocol from '@camphorwharf/protocol';
import * as callTicket from './call-ticket.js';
import * as concurrencyLimit from './concurrency-limit.js';
import * as importanceQueue from './importance-queue.js';
import type * as interfaces from './interfaces.js';
import * as medianServiceTime from './median-service-time.js';
import type * as shareThreshold from './share-threshold.js';
import * as sheddingControl from './shedding-control.js';

/**
 * Defaults until the first configuration document is in force (design section
 * 5).
 */
const DEFAULT_LIMITS: interfaces.AdmissionLimits = {
  maximumConcurrency: 1_000,
  maximumQueue: 256,
};

/**
 * Queue capacity as a multiple of the concurrency limit, within these bounds.
 */
const QUEUE_FACTOR = 4;
const MINIMUM_QUEUE = 16;
const MAXIMUM_QUEUE = 1_024;

type Events = interfaces.AdmissionEvent[];

/**
 * Admission controller of packages/daemon for one target, which learns the
 * concurrency limit from service times and overload failures. For a known
 * number of slots see `SlotAdmission`. Design section 4.2.
 */
export class TargetAdmission implements interfaces.AdmissionController {
  private limits: interfaces.AdmissionLimits;
  private readonly limit: concurrencyLimit.ConcurrencyLimit;
  private readonly queue = new importanceQueue.ImportanceQueue();
  private readonly median = new medianServiceTime.MedianServiceTime();
  private readonly shedding = new sheddingControl.SheddingControl();
  private readonly started = new Set<interfaces.AdmissionTicket>();
  private sequence = 0;

  constructor(limits: interfaces.AdmissionLimits = DEFAULT_LIMITS) {
    this.limits = limits;
    this.limit = new concurrencyLimit.ConcurrencyLimit(
      limits.maximumConcurrency,
    );
  }

  get concurrencyLimit(): number {
    return this.limit.value;
  }

  get inFlight(): number {
    return this.started.size;
  }

  get waiting(): number {
    return this.queue.size;
  }

  setLimits(limits: interfaces.AdmissionLimits): void {
    this.limits = limits;
    this.limit.setMaximum(limits.maximumConcurrency);
  }

  offer(
    call: interfaces.AdmissionCall,
    nowMs: number,
  ): {
    readonly verdict: interfaces.AdmissionVerdict;
    readonly events: readonly interfaces.AdmissionEvent[];
  } {
    const events: Events = [];
    const reason = this.refuseForDeadline(call, nowMs);
    if (reason) return {verdict: {kind: 'refuse', reason}, events};
    const isFull = this.isFull();
    this.shedding.noteOffer(call, call.weight, isFull);
    const ticket = new callTicket.CallTicket(call, nowMs, this.sequence++);
    if (!isFull) {
      this.queue.chargeDirectStart(ticket);
      this.start(ticket);
      return {verdict: {kind: 'start', ticket}, events};
    }
    if (!this.shedding.passes(call)) {
      this.shedding.noteRefusal();
      return {verdict: {kind: 'refuse', reason: 'overloaded'}, events};
    }
    this.queue.push(ticket);
    this.refuseUnmeetableDeadlines(nowMs, events);
    this.refuseOverdue(
      this.queue.removeOverdueInShareOf(
        ticket,
        this.median.currentMs(nowMs),
        nowMs,
      ),
      events,
    );
    this.trimQueue(events);
    return {verdict: extractVerdict(ticket, events), events};
  }

  finish(
    ticket: interfaces.AdmissionTicket,
    result: interfaces.AdmissionResult,
    serviceTimeMs: number,
    nowMs: number,
  ): readonly interfaces.AdmissionEvent[] {
    const events: Events = [];
    if (!this.started.delete(ticket)) return events;
    switch (result) {
      case 'succeeded':
        this.median.record(serviceTimeMs, nowMs);
        this.limit.noteSuccess(serviceTimeMs, nowMs);
        break;
      case 'overloaded':
        this.limit.noteOverload(this.started.size, nowMs);
        break;
      case 'failed':
      case 'cancelled':
        // These results do not reflect the service time of a complete call.
        break;
    }
    this.limit.advance(nowMs);
    this.refuseUnmeetableDeadlines(nowMs, events);
    this.startWaiting(events);
    return events;
  }

  abandon(ticket: interfaces.AdmissionTicket, _nowMs: number): void {
    if (ticket instanceof callTicket.CallTicket) this.queue.remove(ticket);
  }

  tick(nowMs: number): readonly interfaces.AdmissionEvent[] {
    const events: Events = [];
    this.limit.advance(nowMs);
    this.refuseUnmeetableDeadlines(nowMs, events);
    this.refuseOverdue(
      this.queue.removeOverdue(this.median.currentMs(nowMs), nowMs),
      events,
    );
    this.startWaiting(events);
    this.trimQueue(events);
    if (this.shedding.advance(this.limit.isGrowing, nowMs)) {
      this.queue.setDemandRatios((importance, share) =>
        this.shedding.demandRatioOf(importance, share),
      );
    }
    return events;
  }

  noteReportedLoad(inFlight: number, slots: number, nowMs: number): void {
    this.limit.noteReportedLoad(inFlight, slots, nowMs);
  }

  beginColdStart(nowMs: number): void {
    this.limit.beginColdStart(nowMs);
  }

  threshold(_nowMs: number): shareThreshold.ShareThreshold | null {
    return this.shedding.threshold;
  }

  private isFull(): boolean {
    return this.queue.size > 0 || this.started.size >= this.limit.value;
  }

  private start(ticket: callTicket.CallTicket): void {
    this.started.add(ticket);
    this.limit.noteStart(this.started.size);
    this.shedding.noteStart();
  }

  private refuseForDeadline(
    call: interfaces.AdmissionCall,
    nowMs: number,
  ): protocol.RefusalReasonName | null {
    const remainingMs = call.deadlineMs - nowMs;
    if (remainingMs <= 0) return 'deadlineExpired';
    if (remainingMs < this.median.currentMs(nowMs)) return 'deadlineTooShort';
    return null;
  }

  /** Starts queued calls while the number in flight is below the limit. */
  private startWaiting(events: Events): void {
    while (this.started.size < this.limit.value) {
      const ticket = this.queue.pop();
      if (!ticket) break;
      this.start(ticket);
      events.push({kind: 'start', ticket});
    }
  }

  /** Refuses queued calls that cannot complete before their deadline. */
  private refuseUnmeetableDeadlines(nowMs: number, events: Events): void {
    for (;;) {
      const ticket = this.queue.earliestDeadline();
      const reason = ticket && this.refuseForDeadline(ticket.call, nowMs);
      if (!ticket || !reason) return;
      this.queue.remove(ticket);
      this.refuse(ticket, reason, events);
    }
  }

  private refuseOverdue(
    overdue: readonly callTicket.CallTicket[],
    events: Events,
  ): void {
    for (const ticket of overdue) this.refuse(ticket, 'overloaded', events);
  }

  /** Evicts calls beyond the queue capacity, which follows the limit. */
  private trimQueue(events: Events): void {
    const capacity = Math.min(
      MAXIMUM_QUEUE,
      this.limits.maximumQueue,
      Math.max(MINIMUM_QUEUE, QUEUE_FACTOR * this.limit.value),
    );
    while (this.queue.size > capacity) {
      const evicted = this.queue.evict();
      if (!evicted) break;
      this.refuse(evicted, 'queueFull', events);
    }
  }

  private refuse(
    ticket: callTicket.CallTicket,
    reason: protocol.RefusalReasonName,
    events: Events,
  ): void {
    this.shedding.noteRefusal();
    events.push({kind: 'refuse', ticket, reason});
  }
}

/**
 * Removes the event of the offered call itself and returns it as the verdict.
 */
function extractVerdict(
  ticket: callTicket.CallTicket,
  events: Events,
): interfaces.AdmissionVerdict {
  const index = events.findIndex(event => event.ticket === ticket);
  if (index < 0) return {kind: 'wait', ticket};
  const [event] = events.splice(index, 1);
  return event.kind === 'refuse'
    ? {kind: 'refuse', reason: event.reason}
    : {kind: 'start', ticket};
}
