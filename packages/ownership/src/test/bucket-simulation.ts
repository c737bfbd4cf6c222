import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as buckets from '../buckets.js';
import * as constants from '../constants.js';
import type * as interfaces from '../interfaces.js';
import * as prepaidGrant from '../prepaid-grant.js';

const STEP_MS = 5;
const REQUEST_TIMEOUT_MS = 400;
/** How long a call waits for a token. */
const WAIT_MS = 100;
/** An owner's lease may outlast the fence of its successor by this much. */
const FENCE_AFTER_LAST_ACT_MS =
  constants.TAKEOVER_FENCE_MS - constants.CONTACT_LEASE_MS;

export interface SimulationOptions {
  readonly seed: number;
  readonly limits: interfaces.BucketLimits;
  readonly holders: number;
  readonly durationMs: number;
  /**
   * Calls per second that each holder offers. With 0, holders are idle until
   * the bucket is full, then collect tokens without spending them, and spend
   * all that they get in one short time: the worst case for a window.
   */
  readonly demandPerSecond: number;
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly maximumDelayMs: number;
  /** Mean time between owner replacements; 0 for none. */
  readonly replaceEveryMs: number;
  readonly createBuckets?: () => interfaces.BucketTable;
}

interface Holder {
  readonly grant: prepaidGrant.PrepaidGrant;
  /** Rate of the holder's clock. */
  readonly clockRate: number;
  pendingSentMs: number | null;
  pendingSequence: number;
  waiting: number[];
}

interface Message {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Several holders and one bucket whose owner is replaced now and then. */
export class BucketSimulation {
  readonly spentAtMs: number[] = [];
  private readonly arrivedAtMs: number[] = [];
  private nowMs = 0;
  private cycleStartMs = 0;
  private collectMs = 0;
  private spendMs = 0;
  private cycleEndMs = 0;
  private ownerSinceMs = 0;
  private owner: interfaces.BucketTable;
  private readonly random: runtime.SeededRandom;
  private readonly holders: Holder[];
  private messages: Message[] = [];

  constructor(private readonly options: SimulationOptions) {
    this.random = new runtime.SeededRandom(options.seed);
    this.owner = this.createBuckets();
    this.holders = Array.from({length: options.holders}, (_, index) => ({
      grant: new prepaidGrant.PrepaidGrant({
        organisation: 'o',
        holder: {hostId: `h${index}`, incarnation: 'i'},
      }),
      clockRate: 0.99 + 0.02 * this.random.next(),
      pendingSentMs: null,
      pendingSequence: 0,
      waiting: [],
    }));
  }

  run(): this {
    while (this.nowMs < this.options.durationMs) this.step();
    return this;
  }

  /** Greatest excess over `rate * window + burst`, over all windows. */
  greatestExcess(): number {
    const {ratePerSecond, burst} = this.options.limits;
    let level = 0;
    let lastMs = 0;
    let excess = -Infinity;
    for (const atMs of this.spentAtMs) {
      const drained = ((atMs - lastMs) * ratePerSecond) / 1_000;
      level = Math.max(0, level - drained) + 1;
      lastMs = atMs;
      excess = Math.max(excess, level - burst);
    }
    return excess;
  }

  /** Calls that one bucket, asked by all callers at once, would let pass. */
  idealCount(): number {
    const {ratePerSecond, burst} = this.options.limits;
    let tokens = 0;
    let count = 0;
    let filledMs = constants.NEW_OWNER_FILL_DELAY_MS;
    for (const atMs of this.arrivedAtMs) {
      const lastMs = atMs + WAIT_MS;
      const filled = tokens + ((lastMs - filledMs) * ratePerSecond) / 1_000;
      if (filled < 1) continue;
      const startMs = Math.max(
        atMs,
        filledMs + ((1 - tokens) * 1_000) / ratePerSecond,
      );
      const atStart = tokens + ((startMs - filledMs) * ratePerSecond) / 1_000;
      tokens = Math.min(burst, atStart) - 1;
      filledMs = startMs;
      count++;
    }
    return count;
  }

  private step(): void {
    this.nowMs += STEP_MS;
    this.replaceOwner();
    const due = this.messages.filter(({dueMs}) => dueMs <= this.nowMs);
    this.messages = this.messages.filter(({dueMs}) => dueMs > this.nowMs);
    for (const message of due) message.deliver();
    for (const holder of this.holders) this.act(holder);
  }

  /** Whether holders are idle, collect tokens, or spend them. */
  private phase(): 'idle' | 'collect' | 'spend' {
    if (this.nowMs >= this.cycleEndMs) {
      this.cycleStartMs = this.nowMs;
      this.collectMs = 500 + runtime.randomInteger(this.random, 4_000);
      this.spendMs =
        this.collectMs + 100 + runtime.randomInteger(this.random, 1_900);
      this.cycleEndMs =
        this.nowMs + this.spendMs + runtime.randomInteger(this.random, 600);
    }
    const elapsedMs = this.nowMs - this.cycleStartMs;
    if (elapsedMs < this.collectMs) return 'idle';
    return elapsedMs < this.spendMs ? 'collect' : 'spend';
  }

  private actAtWorst(holder: Holder, localMs: number): void {
    const phase = this.phase();
    if (phase === 'idle') return;
    if (phase === 'spend') {
      while (holder.grant.trySpend(localMs)) this.spentAtMs.push(this.nowMs);
    }
    for (let call = 0; call < 10; call++) {
      holder.grant.noteUnmet(localMs);
    }
    this.request(holder, localMs);
  }

  private act(holder: Holder): void {
    const {grant} = holder;
    const localMs = this.nowMs * holder.clockRate;
    if (this.options.demandPerSecond === 0) {
      this.actAtWorst(holder, localMs);
      return;
    }
    const arrivals = (this.options.demandPerSecond * STEP_MS) / 1_000;
    let count = Math.floor(arrivals);
    if (this.random.next() < arrivals - count) count++;
    for (let index = 0; index < count; index++) {
      this.arrivedAtMs.push(this.nowMs);
      if (grant.trySpend(localMs)) this.spentAtMs.push(this.nowMs);
      else {
        grant.noteUnmet(localMs);
        holder.waiting.push(this.nowMs + WAIT_MS);
      }
    }
    holder.waiting = holder.waiting.filter(endMs => endMs >= this.nowMs);
    while (holder.waiting.length > 0 && grant.trySpend(localMs)) {
      holder.waiting.shift();
      this.spentAtMs.push(this.nowMs);
    }
    this.request(holder, localMs);
  }

  private request(holder: Holder, localMs: number): void {
    if (
      holder.pendingSentMs !== null &&
      localMs - holder.pendingSentMs > REQUEST_TIMEOUT_MS
    ) {
      holder.grant.recordLoss(localMs);
      holder.pendingSentMs = null;
    }
    const request = holder.grant.nextRequest(localMs);
    if (!request) return;
    holder.pendingSentMs = localMs;
    holder.pendingSequence = request.sequence;
    this.send(() => this.handle(holder, request));
  }

  private handle(holder: Holder, request: protocol.GrantRequest): void {
    if (this.nowMs < this.ownerSinceMs) return;
    const answer = this.owner.grant(
      request,
      this.options.limits,
      this.ownerSinceMs,
      this.nowMs,
    );
    this.send(() => {
      // Replies are matched to requests by number; late ones are dropped.
      if (holder.pendingSentMs === null) return;
      if (holder.pendingSequence !== request.sequence) return;
      const sentMs = holder.pendingSentMs;
      holder.pendingSentMs = null;
      holder.grant.recordAnswer(answer, sentMs, this.nowMs * holder.clockRate);
    });
  }

  private replaceOwner(): void {
    const {replaceEveryMs} = this.options;
    if (replaceEveryMs === 0 || this.nowMs < this.ownerSinceMs) return;
    if (this.random.next() >= STEP_MS / replaceEveryMs) return;
    const successor = this.createBuckets();
    const isPlanned = this.random.next() < 0.5;
    const waitMs = isPlanned
      ? constants.TAKEOVER_FENCE_MS
      : FENCE_AFTER_LAST_ACT_MS;
    if (isPlanned) {
      for (const level of this.owner.takeForHandOver(this.nowMs)) {
        this.send(() =>
          successor.receiveHandOver(
            level.organisation,
            level.tokens,
            this.nowMs,
          ),
        );
      }
    }
    this.owner = successor;
    this.ownerSinceMs = this.nowMs + waitMs;
  }

  private createBuckets(): interfaces.BucketTable {
    return this.options.createBuckets?.() ?? new buckets.Buckets();
  }

  private send(deliver: () => void): void {
    const copies = this.random.next() < this.options.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < this.options.lossRate) continue;
      const delayMs = runtime.randomInteger(
        this.random,
        this.options.maximumDelayMs + 1,
      );
      this.messages.push({dueMs: this.nowMs + delayMs, deliver});
    }
  }
}
