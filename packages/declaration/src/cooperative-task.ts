/**
 * A computation that yields regularly, so that it does not block the event loop
 * of a daemon for long. The generator returns the result.
 */
export type CooperativeTask<T> = Generator<undefined, T, undefined>;

/** Runs the task synchronously, without giving up control. */
export function runToCompletion<T>(task: CooperativeTask<T>): T {
  for (;;) {
    const step = task.next();
    if (step.done === true) return step.value;
  }
}

/** Runs the task and awaits `yieldControl` each time it yields. */
export async function runCooperatively<T>(
  task: CooperativeTask<T>,
  yieldControl: () => Promise<void>,
): Promise<T> {
  for (;;) {
    const step = task.next();
    if (step.done === true) return step.value;
    await yieldControl();
  }
}
