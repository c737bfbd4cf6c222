import type * as runtime from '@camphorwharf/runtime';
import type * as loadMonitor from './load-monitor.js';
import type * as stopSchedule from './stop-schedule.js';

/** Interval at which a stop checks whether all work is done. */
const CHECK_INTERVAL_MS = 20;

export interface GracefulStopOptions {
  readonly clock: Pick<runtime.Clock, 'delay' | 'monotonicMs'>;
  readonly logger: Pick<runtime.Logger, 'info'>;
  readonly schedule: stopSchedule.StopSchedule;
  /** Tells how long a signal may have waited for this process. */
  readonly monitor: Pick<loadMonitor.LoadMonitor, 'inputAgeMs'>;
  /** No signal is older, on the monotonic clock. */
  readonly processStartedMs: number;
  /** Number of requests of clients without a complete response. */
  readonly clientRequests: () => number;
  /** Number of calls of peers without a result, over whichever connection. */
  readonly peerCalls: () => number;
  /** Tells clients and peers that this host is leaving. */
  readonly announce: () => void;
  /** Closes all connections. */
  readonly close: () => void;
}

/** Ends the work of a daemon, once, however often a stop is requested. */
export class GracefulStop {
  private running: Promise<void> | null = null;

  constructor(private readonly options: GracefulStopOptions) {}

  /** Resolves when all connections are closed. */
  run(): Promise<void> {
    this.running ??= this.stop();
    return this.running;
  }

  private get hasWork(): boolean {
    const {clientRequests, peerCalls} = this.options;
    return clientRequests() > 0 || peerCalls() > 0;
  }

  /**
   * The earliest time at which the signal may have been sent. The process is
   * killed a fixed time after the signal, not after its handling, which a long
   * start or a lack of processor time delays.
   */
  private earliestSignalMs(nowMs: number): number {
    const {monitor, processStartedMs} = this.options;
    return Math.max(processStartedMs, nowMs - monitor.inputAgeMs(nowMs));
  }

  private async stop(): Promise<void> {
    const {announce, clientRequests, clock, close, logger} = this.options;
    const {peerCalls, schedule} = this.options;
    const nowMs = clock.monotonicMs();
    const startedMs = this.earliestSignalMs(nowMs);
    schedule.begin(startedMs);
    const {endMs, refuseFromMs} = schedule;
    logger.info('daemon-stopping', {
      running: clientRequests(),
      peerCalls: peerCalls(),
      signalAgeMs: Math.round(nowMs - startedMs),
    });
    announce();
    await clock.delay(Math.max(0, refuseFromMs - nowMs));
    while (this.hasWork && clock.monotonicMs() < endMs) {
      await clock.delay(CHECK_INTERVAL_MS);
    }
    logger.info('daemon-stopped', {
      cut: clientRequests(),
      cutPeerCalls: peerCalls(),
      afterMs: Math.round(clock.monotonicMs() - startedMs),
    });
    close();
  }
}
