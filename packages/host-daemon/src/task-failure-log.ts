import type * as runtime from '@camphorwharf/runtime';

/** Logs every failed task by name. A failed task is a bug in this program. */
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
