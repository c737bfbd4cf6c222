import * as runtime from '@camphorwharf/runtime';
import * as admission from '../index.js';

/** One open-loop source of calls. */
export interface Source {
  readonly organisation: string;
  readonly weight: number;
  readonly importance: 0 | 1 | 2 | 3;
  perSecond: number;
}

/** A backend server with slots in front of one controller. */
export class SingleTarget {
  readonly completed = new Map<admission.AdmissionCall, number>();
  readonly refused: admission.AdmissionCall[] = [];
  nowMs = 0;
  meanMs = 20;
  /** Whether senders honour the thresholds sent back. */
  sendersRefuse = true;
  private readonly running: admission.AdmissionTicket[] = [];
  private readonly startedMs = new Map<admission.AdmissionTicket, number>();
  private readonly ends = new Map<admission.AdmissionTicket, number>();
  private sequence = 0;

  constructor(
    readonly controller: admission.TargetAdmission,
    readonly slots: number,
    readonly random: runtime.RandomSource,
    readonly sources: Source[],
  ) {}

  /** Advances in steps of 1 ms. */
  run(milliseconds: number): void {
    for (let step = 0; step < milliseconds; step++) {
      this.nowMs++;
      for (const source of this.sources) this.arrive(source);
      for (const [ticket, endMs] of this.ends) {
        if (endMs > this.nowMs) continue;
        this.ends.delete(ticket);
        this.completed.set(ticket.call, this.nowMs);
        const spentMs = this.nowMs - this.startedMs.get(ticket)!;
        this.startedMs.delete(ticket);
        this.running.splice(this.running.indexOf(ticket), 1);
        this.take(
          this.controller.finish(ticket, 'succeeded', spentMs, this.nowMs),
        );
      }
      if (this.nowMs % 50 === 0) this.take(this.controller.tick(this.nowMs));
      this.fillSlots();
    }
  }

  private arrive(source: Source): void {
    let expected = source.perSecond / 1_000;
    for (; expected > 0; expected--) {
      if (this.random.next() >= expected) continue;
      const call: admission.AdmissionCall = {
        ...source,
        requestId: `request-${this.sequence++}`,
        rank: this.random.next(),
        deadlineMs: this.nowMs + 2_000,
      };
      const threshold = this.controller.threshold(this.nowMs);
      if (
        this.sendersRefuse &&
        threshold &&
        !admission.passesShareThreshold(call, threshold)
      ) {
        this.refused.push(call);
        continue;
      }
      const {verdict, events} = this.controller.offer(call, this.nowMs);
      if (verdict.kind === 'start') this.begin(verdict.ticket);
      if (verdict.kind === 'refuse') this.refused.push(call);
      this.take(events);
    }
  }

  private take(events: readonly admission.AdmissionEvent[]): void {
    for (const event of events) {
      if (event.kind === 'start') this.begin(event.ticket);
      else this.refused.push(event.ticket.call);
    }
  }

  private begin(ticket: admission.AdmissionTicket): void {
    this.startedMs.set(ticket, this.nowMs);
    this.running.push(ticket);
    this.fillSlots();
  }

  /** Calls beyond the slots wait inside the backend server. */
  private fillSlots(): void {
    for (const ticket of this.running.slice(0, this.slots)) {
      if (this.ends.has(ticket)) continue;
      const spentMs = this.meanMs * (0.5 + this.random.next());
      this.ends.set(ticket, this.nowMs + spentMs);
    }
  }
}
