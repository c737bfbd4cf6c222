import * as runtime from '@camphorwharf/runtime';
import type * as actions from './actions.js';
import type * as messages from './messages.js';

type NetworkFault = Extract<
  actions.Action,
  {kind: 'partition' | 'lose' | 'delay' | 'duplicate'}
>;

interface ActiveFault {
  readonly fault: NetworkFault;
  readonly untilMs: number;
}

/** Delay of the second copy of a duplicated message. */
const DUPLICATE_DELAY_MS = 1_500;

/** Holds the messages in transit and the active network faults. */
export class Network {
  private messages: messages.Message[] = [];
  private activeFaults: ActiveFault[] = [];

  /** Ends the faults whose time has passed. */
  advance(nowMs: number): void {
    if (this.activeFaults.length === 0) return;
    this.activeFaults = this.activeFaults.filter(
      ({untilMs}) => untilMs > nowMs,
    );
  }

  injectFault(fault: NetworkFault, nowMs: number): void {
    this.activeFaults.push({fault, untilMs: nowMs + fault.durationMs});
  }

  /** Sends a message under the active faults; `random` adds random delays. */
  send(
    message: Omit<messages.Message, 'dueMs'>,
    random?: runtime.RandomSource,
  ): void {
    const dueMs = message.sentMs + randomDelayMs(random);
    let delayMs = 0;
    let copies = 1;
    for (const {fault} of this.activeFaults) {
      if (message.from === message.to) break;
      if (!affects(fault, message.from, message.to)) continue;
      if (fault.kind === 'partition' || fault.kind === 'lose') return;
      if (fault.kind === 'delay') delayMs = fault.byMs;
      if (fault.kind === 'duplicate') copies = 2;
    }
    for (let copy = 0; copy < copies; copy++) {
      const copyDelayMs = copy * DUPLICATE_DELAY_MS;
      this.messages.push({...message, dueMs: dueMs + delayMs + copyDelayMs});
    }
  }

  /** Removes and returns the next due message whose receiver can read it. */
  takeNextDue(
    nowMs: number,
    canRead: (host: string) => boolean,
  ): messages.Message | null {
    const index = this.messages.findIndex(
      message => message.dueMs <= nowMs && canRead(message.to),
    );
    return index === -1 ? null : this.messages.splice(index, 1)[0];
  }
}

function affects(fault: NetworkFault, from: string, to: string): boolean {
  if (fault.kind !== 'partition') return fault.from === from;
  return fault.group.includes(from) !== fault.group.includes(to);
}

function randomDelayMs(random?: runtime.RandomSource): number {
  if (!random) return 0;
  const draw = random.next();
  if (draw < 0.8) return 0;
  return draw < 0.97 ? 500 : 500 * runtime.randomInteger(random, 8);
}
