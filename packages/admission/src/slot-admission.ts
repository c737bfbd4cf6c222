import * as callQueues from './call-queues.js';
import type * as coldStartLimit from './cold-start-limit.js';

/** A request for a slot of the local backend server. */
export interface SlotRequest {
  /**
   * Whether the call was made by a backend server that is processing another
   * call. Refusing it would waste the work already done, so it takes
   * precedence.
   */
  readonly nested: boolean;
  /** 0 is the most important. */
  readonly priority: number;
  /** Monotonic time after which a response is useless. */
  readonly deadlineMs: number;
  /**
   * Response time objective in milliseconds, within which a response has its
   * full value.
   */
  readonly objectiveMs: number;
  /**
   * Expected run time at this server, in milliseconds; the average of all calls
   * if absent.
   */
  readonly expectedRunMs?: number;
}

export type SlotRefusal =
  | 'queueFull'
  | 'waitTooLong'
  | 'deadlineExpired'
  /** The cold start limit would delay the call, or has delayed it, too long. */
  | 'coldLimit';

export type SlotVerdict =
  | {readonly kind: 'start'}
  | {readonly kind: 'wait'; readonly cause: 'slots' | 'coldLimit'}
  | {
      readonly kind: 'refuse';
      readonly reason: SlotRefusal;
      readonly retryAfterMs: number;
    };

/** Outcome of a queued call. */
export type SlotEvent<Ticket> =
  | {readonly kind: 'start'; readonly ticket: Ticket}
  | {
      readonly kind: 'refuse';
      readonly ticket: Ticket;
      readonly reason: SlotRefusal;
      readonly retryAfterMs: number;
    };

/**
 * Maximum queue wait of a call that is not nested, as a fraction of its
 * objective.
 */
const WAIT_SHARE = 0.25;

/** Maximum queue wait of a nested call, as a fraction of its remaining time. */
const NESTED_WAIT_SHARE = 0.7;

/** Maximum queue length, as a multiple of the number of slots. */
const MAXIMUM_QUEUE_PER_SLOT = 8;

/**
 * Maximum fraction of the slots in use. A server that slows down near
 * saturation has a higher throughput below it.
 */
const USED_SLOT_SHARE = 0.95;

/** Weight of a new call in the moving average of the run time. */
const RUN_TIME_SMOOTHING = 0.05;

const INITIAL_RUN_TIME_MS = 50;

/** A retry sooner than this would find the same queue. */
const MINIMUM_RETRY_AFTER_MS = 150;

const MAXIMUM_RETRY_AFTER_MS = 2_000;

/**
 * Admission controller of packages/host-daemon for a backend server with a
 * known number of slots. To learn the limit see `TargetAdmission`. Nested
 * calls are served first, then calls by priority, then in order of arrival. A
 * call whose expected wait exceeds its limit is refused on arrival. While the
 * server is cold, calls start no faster than the cold start limit permits.
 */
export class SlotAdmission<Ticket> {
  private running = 0;
  private readonly queues = new callQueues.CallQueues<Ticket>();
  private averageRunMs = INITIAL_RUN_TIME_MS;

  /**
   * `remainingRunMs` returns the expected remaining run time of a running call,
   * averaged over all; null if it is not known.
   */
  constructor(
    private slots: number,
    private readonly coldLimit: coldStartLimit.ColdStartLimit | null = null,
    private readonly remainingRunMs: () => number | null = () => null,
  ) {}

  get runningCount(): number {
    return this.running;
  }

  get queueLength(): number {
    return this.queues.length;
  }

  /** Average run time of a call, in milliseconds. */
  get runMs(): number {
    return this.averageRunMs;
  }

  get slotCount(): number {
    return this.slots;
  }

  setSlots(slots: number): void {
    this.slots = Math.max(1, slots);
  }

  /** Maximum number of concurrent calls. */
  get capacity(): number {
    return Math.max(1, Math.ceil(this.slots * USED_SLOT_SHARE) - 1);
  }

  /** Returns the expected wait, in milliseconds, of a call that arrives now. */
  expectedWaitMs(nested: boolean, priority: number, nowMs: number): number {
    if (this.startsAtOnce(nowMs)) return 0;
    const classIndex = callQueues.classOf(nested, priority);
    return Math.max(
      this.slotWaitMs(classIndex),
      this.coldWaitMs(this.queues.callsAhead(classIndex), nowMs),
    );
  }

  offer(ticket: Ticket, request: SlotRequest, nowMs: number): SlotVerdict {
    const remainingMs = request.deadlineMs - nowMs;
    if (remainingMs <= 0) return this.refuse('deadlineExpired');
    if (this.startsAtOnce(nowMs)) {
      this.noteStart(nowMs);
      return {kind: 'start'};
    }
    const maximumWaitMs = request.nested
      ? remainingMs * NESTED_WAIT_SHARE
      : Math.min(request.objectiveMs * WAIT_SHARE, remainingMs / 2);
    const classIndex = callQueues.classOf(request.nested, request.priority);
    const ahead = this.queues.callsAhead(classIndex);
    const slotWaitMs = this.slotWaitMs(classIndex);
    const coldWaitMs = this.coldWaitMs(ahead, nowMs);
    if (slotWaitMs > maximumWaitMs) return this.refuse('waitTooLong');
    if (coldWaitMs > maximumWaitMs) return this.refuseCold(nowMs);
    if (this.queues.length >= this.slots * MAXIMUM_QUEUE_PER_SLOT) {
      return this.refuse('queueFull');
    }
    this.queues.add({
      ticket,
      class: classIndex,
      expectedRunMs: request.expectedRunMs,
      waitDeadlineMs: nowMs + maximumWaitMs,
    });
    return {
      kind: 'wait',
      cause: coldWaitMs > slotWaitMs ? 'coldLimit' : 'slots',
    };
  }

  /** Releases the slot of a completed call and starts queued calls. */
  finish(
    runMs: number,
    completed: boolean,
    nowMs: number,
  ): SlotEvent<Ticket>[] {
    this.running = Math.max(0, this.running - 1);
    if (completed) {
      this.averageRunMs += RUN_TIME_SMOOTHING * (runMs - this.averageRunMs);
    }
    return this.advance(nowMs);
  }

  /** Removes a queued call; returns false if it is not queued. */
  abandon(ticket: Ticket): boolean {
    return this.queues.remove(ticket);
  }

  /**
   * Starts queued calls while slots are free and the cold start limit permits,
   * and refuses those that exceeded their maximum wait.
   */
  advance(nowMs: number): SlotEvent<Ticket>[] {
    if (this.queues.length === 0) return [];
    const events = this.refuseExpiredWaits(nowMs);
    while (this.queues.length > 0 && this.mayStart(nowMs)) {
      const next = this.queues.dequeue();
      if (!next) break;
      this.noteStart(nowMs);
      events.push({kind: 'start', ticket: next.ticket});
    }
    return events;
  }

  /** Returns the delay, in milliseconds, to suggest to a refused caller. */
  retryAfterMs(): number {
    const drainMs =
      ((this.queues.length + this.running) / this.capacity) * this.averageRunMs;
    return Math.min(
      MAXIMUM_RETRY_AFTER_MS,
      Math.max(MINIMUM_RETRY_AFTER_MS, 2 * drainMs),
    );
  }

  private refuse(reason: SlotRefusal): SlotVerdict & {kind: 'refuse'} {
    return {kind: 'refuse', reason, retryAfterMs: this.retryAfterMs()};
  }

  private refuseCold(nowMs: number): SlotVerdict & {kind: 'refuse'} {
    const retryAfterMs = Math.max(
      this.retryAfterMs(),
      this.coldLimit?.retryAfterMs(nowMs) ?? 0,
    );
    return {kind: 'refuse', reason: 'coldLimit', retryAfterMs};
  }

  private startsAtOnce(nowMs: number): boolean {
    return this.queues.length === 0 && this.mayStart(nowMs);
  }

  private mayStart(nowMs: number): boolean {
    return this.running < this.capacity && !this.isHeldByColdLimit(nowMs);
  }

  private isHeldByColdLimit(nowMs: number): boolean {
    return this.coldLimit !== null && this.coldLimit.waitMs(nowMs) > 0;
  }

  private noteStart(nowMs: number): void {
    this.running++;
    this.coldLimit?.noteStart(nowMs);
  }

  private slotWaitMs(classIndex: number): number {
    const free = this.capacity - this.running;
    const turns = this.queues.callsAhead(classIndex) + 1 - free;
    if (turns <= 0) return 0;
    const queuedMs = this.queues.runMsAhead(classIndex, this.averageRunMs);
    const freeingMs = (1 - free) * (this.remainingRunMs() ?? this.averageRunMs);
    return Math.max(0, (queuedMs + freeingMs) / this.capacity);
  }

  private coldWaitMs(ahead: number, nowMs: number): number {
    return this.coldLimit?.expectedWaitMs(ahead + 1, nowMs) ?? 0;
  }

  private refuseExpiredWaits(nowMs: number): SlotEvent<Ticket>[] {
    const events: SlotEvent<Ticket>[] = [];
    const isCold =
      this.running < this.capacity && this.isHeldByColdLimit(nowMs);
    for (let index = 0; index < this.queues.classCount; index++) {
      if (!this.queues.hasExpired(index, nowMs)) continue;
      this.queues.removeExpired(index, nowMs, ({ticket}) => {
        const refusal = isCold
          ? this.refuseCold(nowMs)
          : this.refuse('waitTooLong');
        events.push({...refusal, ticket});
      });
    }
    return events;
  }
}
