import type * as runtime from '@camphorwharf/runtime';

/** Logs each task that fails, which is a fault of this program, by its name. */
export function logTaskFailures(
  tasks: Readonly<Record<string, Promise<void>>>,
  logger: runtime.Logger,
): void {
  for (const [task, running] of Object.entries(tasks)) {
    running.catch((error: unknown) =>
      logger.error('task-failed', {
        task,
        error: error instanceof Error ? (error.stack ?? error.message) : error,
      }),
    );
  }
}
