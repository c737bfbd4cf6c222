import * as runtime from '@camphorwharf/runtime';
import type * as actions from './actions.js';
import type * as messages from './messages.js';

type Disturbance = Extract<
  actions.Action,
  {kind: 'partition' | 'lose' | 'delay' | 'duplicate'}
>;

interface ActiveDisturbance {
  readonly cause: Disturbance;
  readonly untilMs: number;
}

/** When the second copy of a message arrives. */
const DUPLICATE_AFTER_MS = 1_500;

/** Messages under way, and what disturbs them. */
export class Network {
  private messages: messages.Message[] = [];
  private disturbances: ActiveDisturbance[] = [];

  advance(nowMs: number): void {
    if (this.disturbances.length === 0) return;
    this.disturbances = this.disturbances.filter(
      ({untilMs}) => untilMs > nowMs,
    );
  }

  disturb(cause: Disturbance, nowMs: number): void {
    this.disturbances.push({cause, untilMs: nowMs + cause.durationMs});
  }

  /** Sends a message; random numbers add delays of their own. */
  send(
    message: Omit<messages.Message, 'dueMs'>,
    random?: runtime.RandomSource,
  ): void {
    const dueMs = message.sentMs + randomDelayMs(random);
    let delayMs = 0;
    let copies = 1;
    for (const {cause} of this.disturbances) {
      if (message.from === message.to) break;
      if (!affects(cause, message.from, message.to)) continue;
      if (cause.kind === 'partition' || cause.kind === 'lose') return;
      if (cause.kind === 'delay') delayMs = cause.byMs;
      if (cause.kind === 'duplicate') copies = 2;
    }
    for (let copy = 0; copy < copies; copy++) {
      const copyMs = copy * DUPLICATE_AFTER_MS;
      this.messages.push({...message, dueMs: dueMs + delayMs + copyMs});
    }
  }

  /** Removes and returns the next message for a host that can read it. */
  takeDue(
    nowMs: number,
    canRead: (host: string) => boolean,
  ): messages.Message | null {
    const index = this.messages.findIndex(
      message => message.dueMs <= nowMs && canRead(message.to),
    );
    return index === -1 ? null : this.messages.splice(index, 1)[0];
  }
}

function affects(cause: Disturbance, from: string, to: string): boolean {
  if (cause.kind !== 'partition') return cause.from === from;
  return cause.group.includes(from) !== cause.group.includes(to);
}

function randomDelayMs(random?: runtime.RandomSource): number {
  if (!random) return 0;
  const draw = random.next();
  if (draw < 0.8) return 0;
  return draw < 0.97 ? 500 : 500 * runtime.randomInteger(random, 8);
}
