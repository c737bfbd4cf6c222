/**
 * Work in steps, each short enough not to delay the calls of a daemon. The
 * generator yields between steps and returns the result.
 */
export type Steps<T> = Generator<undefined, T, undefined>;

/** Runs all steps at once. */
export function runAtOnce<T>(steps: Steps<T>): T {
  for (;;) {
    const step = steps.next();
    if (step.done === true) return step.value;
  }
}

/** Runs the steps and waits for `pause` between them. */
export async function runWithPauses<T>(
  steps: Steps<T>,
  pause: () => Promise<void>,
): Promise<T> {
  for (;;) {
    const step = steps.next();
    if (step.done === true) return step.value;
    await pause();
  }
}
