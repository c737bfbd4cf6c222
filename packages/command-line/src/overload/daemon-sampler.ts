import type * as runtime from '@camphorwharf/runtime';

import * as daemonClient from '../daemon-client.js';
import * as ratePlot from './rate-plot.js';
import * as snapshots from './snapshot.js';

/** The rates of all daemons that answered, at one time. */
interface RatePoint extends ratePlot.PlotPoint {
  readonly perSecond: ratePlot.PlotRates;
  answers: number;
}

/** A daemon that has not answered each time. */
export interface SilentDaemon {
  readonly address: string;
  readonly message: string;
  readonly missed: number;
  /** Whether nothing of it is in the figures. */
  readonly isLeftOut: boolean;
}

interface SampledDaemon {
  readonly address: string;
  /** Whether it has yet to answer an earlier sample. */
  isPending: boolean;
  answers: number;
  missed: number;
  message: string;
  last: {readonly atMs: number; readonly snapshot: snapshots.Snapshot} | null;
}

/** Reads the counters of daemons once or repeatedly. */
export class DaemonSampler {
  private readonly daemons: readonly SampledDaemon[];
  private readonly sum = new snapshots.SnapshotSum();
  private readonly rates: RatePoint[] = [];
  private lastSeconds: number | null = null;
  private firstMs: number | null = null;

  constructor(
    addresses: readonly string[],
    private readonly clock: Pick<runtime.Clock, 'monotonicMs'>,
    private readonly fetchMetrics: (
      address: string,
    ) => Promise<daemonClient.MetricsResult>,
    /** Whether the counters count from the first sample, or from the start. */
    private readonly isDifference: boolean,
    /** Whether the rates between samples are kept. */
    private readonly keepsPoints: boolean,
  ) {
    this.daemons = addresses.map(address => ({
      address,
      isPending: false,
      answers: 0,
      missed: 0,
      message: '',
      last: null,
    }));
  }

  get snapshot(): snapshots.Snapshot {
    return this.sum.snapshot;
  }

  get points(): readonly ratePlot.PlotPoint[] {
    return this.rates.filter(({answers}) => answers > 0);
  }

  /** Time of the last sample that added to the figures; null without one. */
  get sampledSeconds(): number | null {
    return this.lastSeconds;
  }

  get silentDaemons(): SilentDaemon[] {
    return this.daemons
      .filter(({missed}) => missed > 0)
      .map(({address, answers, message, missed}) => ({
        address,
        message,
        missed,
        isLeftOut: answers < (this.isDifference ? 2 : 1),
      }));
  }

  /**
   * Reads the counters of the daemons that have answered all earlier samples.
   * Samples may overlap, so that a daemon that does not answer delays no other.
   */
  async sample(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    this.firstMs ??= nowMs;
    const atSeconds = (nowMs - this.firstMs) / 1_000;
    const point = {atSeconds, perSecond: ratePlot.emptyRates(), answers: 0};
    if (this.keepsPoints) this.rates.push(point);
    await Promise.all(
      this.daemons
        .filter(({isPending}) => !isPending)
        .map(async daemon => {
          daemon.isPending = true;
          await this.sampleDaemon(daemon, point);
          daemon.isPending = false;
        }),
    );
  }

  private async sampleDaemon(
    daemon: SampledDaemon,
    point: RatePoint,
  ): Promise<void> {
    const result = await this.fetchMetrics(daemon.address);
    const atMs = this.clock.monotonicMs();
    const snapshot = result.ok ? snapshots.parseSnapshot(result.text) : null;
    if (snapshot === null) {
      daemon.missed++;
      daemon.message = result.ok
        ? 'its metrics do not count requests by route; it may be of an earlier release'
        : result.message;
      return;
    }
    const {last} = daemon;
    daemon.answers++;
    daemon.last = {atMs, snapshot};
    if (!this.isDifference) this.sum.addAll(snapshot);
    if (!last || atMs <= last.atMs) return;
    const added = snapshots.increase(last.snapshot, snapshot);
    if (this.isDifference) this.sum.addAll(added);
    const seconds = (atMs - last.atMs) / 1_000;
    ratePlot.addRates(point.perSecond, ratePlot.plotRates(added, seconds));
    point.answers++;
    this.lastSeconds = Math.max(this.lastSeconds ?? 0, point.atSeconds);
  }
}
