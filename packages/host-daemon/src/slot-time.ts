import * as runtime from '@camphorwharf/runtime';
import type * as targetCall from './target-call.js';

/** Why the slot time of a call was wasted. */
export const SlotWaste = {
  /** The call failed, or its response proves nothing. */
  failed: 'failed',
  /** It ended after its deadline or after the objective of its route. */
  late: 'late',
  /** Its sender had given up before. */
  noReader: 'noReader',
} as const;
export type SlotWasteName = keyof typeof SlotWaste;

const CAUSES = Object.keys(SlotWaste) as readonly SlotWasteName[];

/** A run of a call at the local backend server. */
export interface SlotRun {
  readonly call: Pick<targetCall.TargetCall, 'objectiveMs'>;
  readonly arrivedMs: number;
  readonly startedMs: number;
  readonly deadlineMs: number;
  readonly signal: Pick<runtime.CancelSignal, 'aborted'>;
}

/** Sums the time for which calls occupy slots of the local backend server. */
export class SlotTime {
  private usedMs = 0;
  private readonly wastedMs: Record<SlotWasteName, number> = {
    failed: 0,
    late: 0,
    noReader: 0,
  };

  constructor(metrics: Pick<runtime.Metrics, 'countFrom'>, service: string) {
    metrics.countFrom(
      'slot_seconds_used_total',
      'Time for which calls occupied slots of the backend server, in seconds.',
      add => add(runtime.formatLabels({service}), this.usedMs / 1_000),
    );
    metrics.countFrom(
      'slot_seconds_wasted_total',
      'The part of it that was spent on calls without a use, by cause.',
      add => {
        for (const cause of CAUSES) {
          const labels = runtime.formatLabels({service, cause});
          add(labels, this.wastedMs[cause] / 1_000);
        }
      },
    );
  }

  /** Records the end of a run; `result` is null if there is none. */
  note(
    run: SlotRun,
    result: targetCall.CallResult | null,
    nowMs: number,
  ): void {
    const runMs = nowMs - run.startedMs;
    this.usedMs += runMs;
    const waste = wasteOf(run, result, nowMs);
    if (waste !== null) this.wastedMs[waste] += runMs;
  }
}

function wasteOf(
  {arrivedMs, call, deadlineMs, signal}: SlotRun,
  result: targetCall.CallResult | null,
  nowMs: number,
): SlotWasteName | null {
  // The sender also gives up at the deadline.
  if (nowMs >= deadlineMs) return 'late';
  if (signal.aborted) return 'noReader';
  if (result?.kind !== 'answer' || result.status >= 500) return 'failed';
  const {objectiveMs} = call;
  return objectiveMs > 0 && nowMs - arrivedMs > objectiveMs ? 'late' : null;
}
