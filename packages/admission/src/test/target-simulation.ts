import * as runtime from '@camphorwharf/runtime';
import * as admission from '../index.js';

/** Open-loop source of calls. */
export interface TrafficSource {
  readonly organisation: string;
  readonly weight: number;
  readonly importance: 0 | 1 | 2 | 3;
  perSecond: number;
}

/** Simulates a backend server with slots behind one admission controller. */
export class TargetSimulation {
  readonly completed = new Map<admission.AdmissionCall, number>();
  readonly refused: admission.AdmissionCall[] = [];
  nowMs = 0;
  meanMs = 20;
  /** Whether senders apply the thresholds that they receive. */
  sendersHonourThresholds = true;
  private readonly running: admission.AdmissionTicket[] = [];
  private readonly startedMs = new Map<admission.AdmissionTicket, number>();
  private readonly endMs = new Map<admission.AdmissionTicket, number>();
  private sequence = 0;

  constructor(
    readonly controller: admission.TargetAdmission,
    readonly slots: number,
    readonly random: runtime.RandomSource,
    readonly sources: TrafficSource[],
  ) {}

  /** Advances the simulation in steps of 1 ms. */
  run(milliseconds: number): void {
    for (let step = 0; step < milliseconds; step++) {
      this.nowMs++;
      for (const source of this.sources) this.arrive(source);
      for (const [ticket, endMs] of this.endMs) {
        if (endMs > this.nowMs) continue;
        this.endMs.delete(ticket);
        this.completed.set(ticket.call, this.nowMs);
        const durationMs = this.nowMs - this.startedMs.get(ticket)!;
        this.startedMs.delete(ticket);
        this.running.splice(this.running.indexOf(ticket), 1);
        this.apply(
          this.controller.finish(ticket, 'succeeded', durationMs, this.nowMs),
        );
      }
      if (this.nowMs % 50 === 0) this.apply(this.controller.tick(this.nowMs));
      this.fillSlots();
    }
  }

  private arrive(source: TrafficSource): void {
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
        this.sendersHonourThresholds &&
        threshold &&
        !admission.passesShareThreshold(call, threshold)
      ) {
        this.refused.push(call);
        continue;
      }
      const {verdict, events} = this.controller.offer(call, this.nowMs);
      if (verdict.kind === 'start') this.startCall(verdict.ticket);
      if (verdict.kind === 'refuse') this.refused.push(call);
      this.apply(events);
    }
  }

  private apply(events: readonly admission.AdmissionEvent[]): void {
    for (const event of events) {
      if (event.kind === 'start') this.startCall(event.ticket);
      else this.refused.push(event.ticket.call);
    }
  }

  private startCall(ticket: admission.AdmissionTicket): void {
    this.startedMs.set(ticket, this.nowMs);
    this.running.push(ticket);
    this.fillSlots();
  }

  /** Calls beyond the slots wait inside the backend server. */
  private fillSlots(): void {
    for (const ticket of this.running.slice(0, this.slots)) {
      if (this.endMs.has(ticket)) continue;
      const durationMs = this.meanMs * (0.5 + this.random.next());
      this.endMs.set(ticket, this.nowMs + durationMs);
    }
  }
}
