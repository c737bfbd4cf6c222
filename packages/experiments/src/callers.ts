import * as admission from '@camphorwharf/admission';
import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as callPath from './call-path.js';
import * as deployments from './deployments.js';
import type * as request from './request.js';

/** Time after which a caller gives up on a request. */
export const CALLER_TIMEOUT_MS = 2_000;

/** Retries by callers without backoff; each is a new request. */
export interface ClientRetries {
  readonly maximum: number;
  readonly delayMs: number;
}

/** Load that the callers of an experiment generate. */
export interface Workload {
  /** Calls per second of an organisation; zero while it sends none. */
  ratePerSecond(organisation: declaration.Organisation, nowMs: number): number;
  /** Class of all calls; null draws classes from the mix of the deployment. */
  readonly importance: request.Request['importance'] | null;
  readonly retries: ClientRetries | null;
}

/** How a request ended for its caller; `late` means after the timeout. */
export type CallerOutcome = 'completed' | 'refused' | 'failed' | 'late';

/** Generates Poisson arrivals in an open loop, independent of responses. */
export class Callers {
  private sequence = 0;

  constructor(
    private readonly path: callPath.CallPath,
    private readonly random: runtime.RandomSource,
    private readonly workload: Workload,
    private readonly record: (
      call: request.Request,
      outcome: CallerOutcome,
    ) => void,
  ) {}

  start(): void {
    for (const organisation of this.path.deployment.document.organisations) {
      this.scheduleArrival(organisation);
    }
  }

  private scheduleArrival(organisation: declaration.Organisation): void {
    const {time} = this.path;
    const ratePerSecond = this.workload.ratePerSecond(organisation, time.nowMs);
    // Checked at least every 50 ms, so that a change of the rate soon applies.
    const delayMs =
      ratePerSecond > 0
        ? (-Math.log(1 - this.random.next()) * 1_000) / ratePerSecond
        : 50;
    if (delayMs >= 50) {
      time.after(50, () => this.scheduleArrival(organisation));
      return;
    }
    time.after(delayMs, () => {
      const importance =
        this.workload.importance ??
        deployments.importanceForDraw(this.random.next());
      this.send(organisation, importance, 0);
      this.scheduleArrival(organisation);
    });
  }

  private send(
    organisation: declaration.Organisation,
    importance: request.Request['importance'],
    attempt: number,
  ): void {
    const {time, deployment, entrySenders} = this.path;
    const call: request.Request = {
      requestId: `request-${this.sequence++}`,
      organisation: organisation.name,
      weight: organisation.ratePerSecond,
      importance,
      rank: this.random.next(),
      arrivedMs: time.nowMs,
      deadlineMs: time.nowMs + CALLER_TIMEOUT_MS,
      retries: 0,
      runs: 0,
    };
    let pending = true;
    const complete = (outcome: CallerOutcome) => {
      if (!pending) return;
      pending = false;
      this.record(call, outcome);
      const {retries} = this.workload;
      if (outcome !== 'completed' && retries && attempt < retries.maximum) {
        time.after(retries.delayMs, () =>
          this.send(organisation, importance, attempt + 1),
        );
      }
    };
    const entry =
      entrySenders[runtime.randomInteger(this.random, entrySenders.length)];
    const budget = new admission.RequestRetryBudget(callPath.RETRY_BUDGET);
    time.after(deployment.clientOneWayMs, () =>
      entry.send(0, call, budget, outcome =>
        time.after(deployment.clientOneWayMs, () => complete(outcome.kind)),
      ),
    );
    time.after(CALLER_TIMEOUT_MS, () => complete('late'));
  }
}
