import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as buckets from '../buckets.js';
import * as constants from '../constants.js';
import type * as interfaces from '../interfaces.js';
import * as prepaidGrant from '../prepaid-grant.js';

const STEP_MS = 5;
const REQUEST_TIMEOUT_MS = 400;
/** Maximum time that a call waits for a token. */
const CALL_WAIT_MS = 100;
/**
 * Minimum delay of an unplanned takeover: the fence less the contact lease,
 * during which the lost owner may still have granted tokens.
 */
const UNPLANNED_TAKEOVER_DELAY_MS =
  constants.TAKEOVER_FENCE_MS - constants.CONTACT_LEASE_MS;

export interface SimulationOptions {
  readonly seed: number;
  readonly limits: interfaces.BucketLimits;
  readonly holders: number;
  readonly durationMs: number;
  /**
   * Calls per second at each holder. With 0, holders repeat the worst case for
   * a rate limit window: they are idle while the bucket refills, then collect
   * tokens without spending them, and finally spend all of them at once.
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
  /** Speed of the holder's clock relative to simulated time. */
  readonly clockRate: number;
  pendingSentMs: number | null;
  pendingSequence: number;
  waitDeadlinesMs: number[];
}

interface Message {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Simulates grant holders and one bucket whose owner is replaced at random. */
export class BucketSimulation {
  readonly spentAtMs: number[] = [];
  private readonly arrivedAtMs: number[] = [];
  private nowMs = 0;
  private cycleStartMs = 0;
  private collectStartMs = 0;
  private spendStartMs = 0;
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
      waitDeadlinesMs: [],
    }));
  }

  run(): this {
    while (this.nowMs < this.options.durationMs) this.step();
    return this;
  }

  /** Returns the maximum excess over `rate * window + burst` of any window. */
  maximumExcess(): number {
    const {ratePerSecond, burst} = this.options.limits;
    let level = 0;
    let previousMs = 0;
    let excess = -Infinity;
    for (const atMs of this.spentAtMs) {
      const drainedTokens = ((atMs - previousMs) * ratePerSecond) / 1_000;
      level = Math.max(0, level - drainedTokens) + 1;
      previousMs = atMs;
      excess = Math.max(excess, level - burst);
    }
    return excess;
  }

  /** Returns how many calls one bucket without grants would admit. */
  idealCallCount(): number {
    const {ratePerSecond, burst} = this.options.limits;
    let tokens = 0;
    let count = 0;
    let refilledUntilMs = constants.NEW_OWNER_FILL_DELAY_MS;
    for (const atMs of this.arrivedAtMs) {
      const latestStartMs = atMs + CALL_WAIT_MS;
      const availableTokens =
        tokens + ((latestStartMs - refilledUntilMs) * ratePerSecond) / 1_000;
      if (availableTokens < 1) continue;
      const startMs = Math.max(
        atMs,
        refilledUntilMs + ((1 - tokens) * 1_000) / ratePerSecond,
      );
      const tokensAtStart =
        tokens + ((startMs - refilledUntilMs) * ratePerSecond) / 1_000;
      tokens = Math.min(burst, tokensAtStart) - 1;
      refilledUntilMs = startMs;
      count++;
    }
    return count;
  }

  private step(): void {
    this.nowMs += STEP_MS;
    this.replaceOwner();
    const dueMessages = this.messages.filter(({dueMs}) => dueMs <= this.nowMs);
    this.messages = this.messages.filter(({dueMs}) => dueMs > this.nowMs);
    for (const message of dueMessages) message.deliver();
    for (const holder of this.holders) this.act(holder);
  }

  /** Returns the current phase of the worst-case cycle. */
  private phase(): 'idle' | 'collect' | 'spend' {
    if (this.nowMs >= this.cycleEndMs) {
      this.cycleStartMs = this.nowMs;
      this.collectStartMs = 500 + runtime.randomInteger(this.random, 4_000);
      this.spendStartMs =
        this.collectStartMs + 100 + runtime.randomInteger(this.random, 1_900);
      this.cycleEndMs =
        this.nowMs +
        this.spendStartMs +
        runtime.randomInteger(this.random, 600);
    }
    const elapsedMs = this.nowMs - this.cycleStartMs;
    if (elapsedMs < this.collectStartMs) return 'idle';
    return elapsedMs < this.spendStartMs ? 'collect' : 'spend';
  }

  private actInWorstCase(holder: Holder, localMs: number): void {
    const phase = this.phase();
    if (phase === 'idle') return;
    if (phase === 'spend') {
      while (holder.grant.trySpend(localMs)) this.spentAtMs.push(this.nowMs);
    }
    for (let call = 0; call < 10; call++) {
      holder.grant.recordUnmetDemand(localMs);
    }
    this.request(holder, localMs);
  }

  private act(holder: Holder): void {
    const {grant} = holder;
    const localMs = this.nowMs * holder.clockRate;
    if (this.options.demandPerSecond === 0) {
      this.actInWorstCase(holder, localMs);
      return;
    }
    const expectedArrivals = (this.options.demandPerSecond * STEP_MS) / 1_000;
    let count = Math.floor(expectedArrivals);
    if (this.random.next() < expectedArrivals - count) count++;
    for (let index = 0; index < count; index++) {
      this.arrivedAtMs.push(this.nowMs);
      if (grant.trySpend(localMs)) this.spentAtMs.push(this.nowMs);
      else {
        grant.recordUnmetDemand(localMs);
        holder.waitDeadlinesMs.push(this.nowMs + CALL_WAIT_MS);
      }
    }
    holder.waitDeadlinesMs = holder.waitDeadlinesMs.filter(
      endMs => endMs >= this.nowMs,
    );
    while (holder.waitDeadlinesMs.length > 0 && grant.trySpend(localMs)) {
      holder.waitDeadlinesMs.shift();
      this.spentAtMs.push(this.nowMs);
    }
    this.request(holder, localMs);
  }

  private request(holder: Holder, localMs: number): void {
    if (
      holder.pendingSentMs !== null &&
      localMs - holder.pendingSentMs > REQUEST_TIMEOUT_MS
    ) {
      holder.grant.recordLostRequest(localMs);
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
      // Answers are matched to requests by sequence number; late ones are
      // dropped.
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
    const takeoverDelayMs = isPlanned
      ? constants.TAKEOVER_FENCE_MS
      : UNPLANNED_TAKEOVER_DELAY_MS;
    if (isPlanned) {
      for (const level of this.owner.drainForHandOver(this.nowMs)) {
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
    this.ownerSinceMs = this.nowMs + takeoverDelayMs;
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
