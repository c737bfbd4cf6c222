import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as cellTask from './cell-task.js';
import * as peerRequests from './peer-requests.js';
import type * as limitClient from './limit-client.js';

const ANNOUNCEMENT_TIMEOUT_MS = 500;

const DRAIN_CHECK_INTERVAL_MS = 25;

export interface DepartureTaskOptions {
  readonly hostId: string;
  /** Every open peer connection, in both directions. */
  readonly links: () => Iterable<transport.PeerLink>;
  readonly cell: Pick<cellTask.CellTask, 'leave'>;
  readonly limits: Pick<limitClient.LimitClient, 'returnGrants'>;
  /** Makes this daemon refuse new work. */
  readonly stopAccepting: () => void;
  /** Number of running and waiting calls on this host, in any role. */
  readonly runningCalls: () => number;
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
}

export interface DepartureReport {
  /** Number of peers that acknowledged the departure notice. */
  readonly announcedTo: number;
  /** Number of peer connections at the start of the departure. */
  readonly peers: number;
  /** Calls still running at the end; 0 unless the timeout was reached. */
  readonly unfinishedCalls: number;
}

/** Graceful shutdown of this daemon (design section 4.8). */
export class DepartureTask {
  private departure: Promise<DepartureReport> | null = null;

  constructor(private readonly options: DepartureTaskOptions) {}

  get isLeaving(): boolean {
    return this.departure !== null;
  }

  /** Resolves when the process may exit. Repeated calls share one departure. */
  run(timeoutMs: number): Promise<DepartureReport> {
    this.departure ??= this.performDeparture(timeoutMs);
    return this.departure;
  }

  private async performDeparture(timeoutMs: number): Promise<DepartureReport> {
    const {clock, logger, cell, limits, runningCalls} = this.options;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    logger.info('departure-started', {runningCalls: runningCalls()});
    const links = new Set(this.options.links());
    const announcements = [...links].map(link => this.announce(link));
    this.options.stopAccepting();
    const announcedTo = (await Promise.all(announcements)).filter(
      Boolean,
    ).length;
    const nowMs = clock.monotonicMs();
    // Grants are returned first, so that the transferred bucket levels include
    // their unspent tokens.
    await limits.returnGrants(nowMs);
    await cell.leave(clock.monotonicMs());
    while (runningCalls() > 0 && clock.monotonicMs() < deadlineMs) {
      await clock.delay(DRAIN_CHECK_INTERVAL_MS);
    }
    const report = {
      announcedTo,
      peers: links.size,
      unfinishedCalls: runningCalls(),
    };
    logger.info('departure-ended', report);
    return report;
  }

  private async announce(link: transport.PeerLink): Promise<boolean> {
    const {clock, hostId} = this.options;
    try {
      const reply = await peerRequests.withTimeout(
        clock,
        ANNOUNCEMENT_TIMEOUT_MS,
        link.request({kind: 'leaving', hostId}, ANNOUNCEMENT_TIMEOUT_MS),
      );
      return reply?.kind === 'acknowledged';
    } catch {
      return false;
    }
  }
}
