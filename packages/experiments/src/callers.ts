import * as admission from '@camphorwharf/admission';
import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as callPath from './call-path.js';
import * as deployments from './deployments.js';
import type * as request from './request.js';

/** How long a caller waits for its answer. */
export const TIMEOUT_MS = 2_000;

/** Hard retries of a caller: immediate repeats as new requests. */
export interface HardRetries {
  readonly most: number;
  readonly delayMs: number;
}

/** The load of one experiment. */
export interface Load {
  /** Calls per second of one organisation; zero while it is silent. */
  rate(organisation: declaration.Organisation, nowMs: number): number;
  /** One class for all calls; the mix of the document when null. */
  readonly importance: request.Request['importance'] | null;
  readonly retries: HardRetries | null;
}

export type Ending = 'completed' | 'refused' | 'failed' | 'late';

/** Open-loop callers: arrivals do not wait for answers. */
export class Callers {
  private sequence = 0;

  constructor(
    private readonly path: callPath.CallPath,
    private readonly random: runtime.RandomSource,
    private readonly load: Load,
    private readonly record: (call: request.Request, ending: Ending) => void,
  ) {}

  start(): void {
    for (const organisation of this.path.deployment.document.organisations) {
      this.arrive(organisation);
    }
  }

  private arrive(organisation: declaration.Organisation): void {
    const {time} = this.path;
    const rate = this.load.rate(organisation, time.nowMs);
    // Looks again soon, so that a change of the rate takes effect at once.
    const gapMs =
      rate > 0 ? (-Math.log(1 - this.random.next()) * 1_000) / rate : 50;
    if (gapMs >= 50) {
      time.after(50, () => this.arrive(organisation));
      return;
    }
    time.after(gapMs, () => {
      const importance =
        this.load.importance ?? deployments.classOf(this.random.next());
      this.send(organisation, importance, 0);
      this.arrive(organisation);
    });
  }

  private send(
    organisation: declaration.Organisation,
    importance: request.Request['importance'],
    repeat: number,
  ): void {
    const {time, deployment, entries} = this.path;
    const call: request.Request = {
      requestId: `request-${this.sequence++}`,
      organisation: organisation.name,
      weight: organisation.ratePerSecond,
      importance,
      rank: this.random.next(),
      arrivedMs: time.nowMs,
      deadlineMs: time.nowMs + TIMEOUT_MS,
      retries: 0,
      runs: 0,
    };
    let open = true;
    const end = (ending: Ending) => {
      if (!open) return;
      open = false;
      this.record(call, ending);
      const {retries} = this.load;
      if (ending !== 'completed' && retries && repeat < retries.most) {
        time.after(retries.delayMs, () =>
          this.send(organisation, importance, repeat + 1),
        );
      }
    };
    const entry = entries[runtime.randomInteger(this.random, entries.length)];
    const budget = new admission.RequestRetryBudget(callPath.RETRIES);
    time.after(deployment.clientOneWayMs, () =>
      entry.send(0, call, budget, outcome =>
        time.after(deployment.clientOneWayMs, () => end(outcome.kind)),
      ),
    );
    time.after(TIMEOUT_MS, () => end('late'));
  }
}
