import type * as protocol from '@camphorwharf/protocol';
import * as concurrencyLimit from './concurrency-limit.js';
import * as importanceQueue from './importance-queue.js';
import type * as interfaces from './interfaces.js';
import type * as shareThreshold from './share-threshold.js';
import * as sheddingControl from './shedding-control.js';
import * as typicalServiceTime from './typical-service-time.js';
import * as waiting from './waiting-call.js';

/** Values until the first document is in force; design section 5. */
const DEFAULT_LIMITS: interfaces.AdmissionLimits = {
  maximumConcurrency: 1_000,
  maximumQueue: 256,
};

/** The queue holds this many times the limit, within these bounds. */
const QUEUE_FACTOR = 4;
const MINIMUM_QUEUE = 16;
const MAXIMUM_QUEUE = 1_024;

type Events = interfaces.AdmissionEvent[];

/** Decides which calls one target starts (design section 4.2). */
export class TargetAdmission implements interfaces.AdmissionController {
  private limits: interfaces.AdmissionLimits;
  private readonly limit: concurrencyLimit.ConcurrencyLimit;
  private readonly queue = new importanceQueue.ImportanceQueue();
  private readonly typical = new typicalServiceTime.TypicalServiceTime();
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
    const early = this.refuseForDeadline(call, nowMs);
    if (early) return {verdict: {kind: 'refuse', reason: early}, events};
    const isFull = this.isFull();
    this.shedding.noteOffer(call, call.weight, isFull);
    const item = new waiting.WaitingCall(call, nowMs, this.sequence++);
    if (!isFull) {
      this.queue.chargeDirectStart(item);
      this.start(item);
      return {verdict: {kind: 'start', ticket: item}, events};
    }
    if (!this.shedding.passes(call)) {
      this.shedding.noteRefusal();
      return {verdict: {kind: 'refuse', reason: 'overloaded'}, events};
    }
    this.queue.push(item);
    this.refuseLate(nowMs, events);
    this.refuseOverdue(
      this.queue.removeOverdueLike(item, this.typical.currentMs(nowMs), nowMs),
      events,
    );
    this.trim(events);
    return {verdict: takeVerdict(item, events), events};
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
        this.typical.record(serviceTimeMs, nowMs);
        this.limit.noteSuccess(serviceTimeMs, nowMs);
        break;
      case 'overloaded':
        this.limit.noteOverload(this.started.size, nowMs);
        break;
      case 'failed':
      case 'cancelled':
        // Neither says how long a complete call takes.
        break;
    }
    this.limit.advance(nowMs);
    this.refuseLate(nowMs, events);
    this.drain(events);
    return events;
  }

  abandon(ticket: interfaces.AdmissionTicket, _nowMs: number): void {
    if (ticket instanceof waiting.WaitingCall) this.queue.remove(ticket);
  }

  tick(nowMs: number): readonly interfaces.AdmissionEvent[] {
    const events: Events = [];
    this.limit.advance(nowMs);
    this.refuseLate(nowMs, events);
    this.refuseOverdue(
      this.queue.removeOverdue(this.typical.currentMs(nowMs), nowMs),
      events,
    );
    this.drain(events);
    this.trim(events);
    if (this.shedding.advance(this.limit.isGrowing, nowMs)) {
      this.queue.setExcess((importance, share) =>
        this.shedding.excessOf(importance, share),
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

  private start(item: waiting.WaitingCall): void {
    this.started.add(item);
    this.limit.noteStart(this.started.size);
    this.shedding.noteStart();
  }

  private refuseForDeadline(
    call: interfaces.AdmissionCall,
    nowMs: number,
  ): protocol.RefusalReasonName | null {
    const remainingMs = call.deadlineMs - nowMs;
    if (remainingMs <= 0) return 'deadlineExpired';
    if (remainingMs < this.typical.currentMs(nowMs)) return 'deadlineTooShort';
    return null;
  }

  /** Starts waiting calls while the limit has room. */
  private drain(events: Events): void {
    while (this.started.size < this.limit.value) {
      const item = this.queue.pop();
      if (!item) break;
      this.start(item);
      events.push({kind: 'start', ticket: item});
    }
  }

  /** Refuses waiting calls that can no longer end in time. */
  private refuseLate(nowMs: number, events: Events): void {
    for (;;) {
      const item = this.queue.earliestDeadline();
      const reason = item && this.refuseForDeadline(item.call, nowMs);
      if (!item || !reason) return;
      this.queue.remove(item);
      this.noteRefused(item, reason, events);
    }
  }

  private refuseOverdue(
    overdue: readonly waiting.WaitingCall[],
    events: Events,
  ): void {
    for (const item of overdue) this.noteRefused(item, 'overloaded', events);
  }

  /** Keeps the queue within its bound, which follows the limit. */
  private trim(events: Events): void {
    const bound = Math.min(
      MAXIMUM_QUEUE,
      this.limits.maximumQueue,
      Math.max(MINIMUM_QUEUE, QUEUE_FACTOR * this.limit.value),
    );
    while (this.queue.size > bound) {
      const victim = this.queue.removeVictim();
      if (!victim) break;
      this.noteRefused(victim, 'queueFull', events);
    }
  }

  private noteRefused(
    item: waiting.WaitingCall,
    reason: protocol.RefusalReasonName,
    events: Events,
  ): void {
    this.shedding.noteRefusal();
    events.push({kind: 'refuse', ticket: item, reason});
  }
}

/** Removes the offered call's own event, which the verdict states instead. */
function takeVerdict(
  item: waiting.WaitingCall,
  events: Events,
): interfaces.AdmissionVerdict {
  const index = events.findIndex(event => event.ticket === item);
  if (index < 0) return {kind: 'wait', ticket: item};
  const [event] = events.splice(index, 1);
  return event.kind === 'refuse'
    ? {kind: 'refuse', reason: event.reason}
    : {kind: 'start', ticket: item};
}
