import * as performanceHooks from 'node:perf_hooks';

/** Measures the event loop utilization of this process. */
export class EventLoopMeter {
  private previous = performanceHooks.performance.eventLoopUtilization();

  /**
   * Returns the fraction of time since the previous call, from 0 to 1, in which
   * the event loop was not idle. Time in which the operating system does not
   * schedule the process counts as busy.
   */
  busyShare(): number {
    const {performance} = performanceHooks;
    const current = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(
      current,
      this.previous,
    );
    this.previous = current;
    return utilization;
  }
}
