import * as performanceHooks from 'node:perf_hooks';

/** Measures how much of its time the event loop of this process is at work. */
export class EventLoopMeter {
  private last = performanceHooks.performance.eventLoopUtilization();

  /**
   * The part of the time since the call before, from 0 to 1, for which the
   * event loop did not wait. Time for which the host does not run the process
   * counts as work.
   */
  busyShare(): number {
    const {performance} = performanceHooks;
    const current = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(current, this.last);
    this.last = current;
    return utilization;
  }
}
