import * as promClient from 'prom-client';

import * as errors from './errors.js';

/** Adds a series; `labels` is a result of `formatLabels` or several, joined. */
export type AddSeries = (labels: string, value: number) => void;

/** Adds the series of one counter with their present values. */
export type ReadSeries = (add: AddSeries) => void;

/**
 * The Prometheus metrics of one process. Each metric is registered on first
 * use, under its name with the prefix `camphorwharf_`.
 */
export class Metrics {
  readonly registry = new promClient.Registry();
  private readonly counters = new Map<string, promClient.Counter>();
  private readonly gauges = new Map<string, promClient.Gauge>();
  private readonly counterSources = new Map<
    string,
    {readonly help: string; readonly read: ReadSeries}
  >();
  private readonly histograms = new Map<string, promClient.Histogram>();

  /** Increments a counter. Help text and label names are set on first use. */
  count(
    name: string,
    help: string,
    labels: Readonly<Record<string, string>> = {},
    amount = 1,
  ): void {
    let counter = this.counters.get(name);
    if (!counter) {
      counter = new promClient.Counter({
        name: `camphorwharf_${name}`,
        help,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.counters.set(name, counter);
    }
    counter.inc(labels, amount);
  }

  /**
   * Registers a counter whose series are read when the metrics are exported, for
   * events that are too frequent for a lookup by labels. A name can be registered
   * once.
   */
  countFrom(name: string, help: string, read: ReadSeries): void {
    if (this.counterSources.has(name)) {
      throw new errors.BaseError(`The counter ${name} is registered already.`);
    }
    this.counterSources.set(name, {help, read});
  }

  /** Sets a gauge. */
  gauge(
    name: string,
    help: string,
    value: number,
    labels: Readonly<Record<string, string>> = {},
  ): void {
    let gauge = this.gauges.get(name);
    if (!gauge) {
      gauge = new promClient.Gauge({
        name: `camphorwharf_${name}`,
        help,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  /** Adds one observation, in seconds, to a latency histogram. */
  observeSeconds(
    name: string,
    help: string,
    seconds: number,
    labels: Readonly<Record<string, string>> = {},
  ): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = new promClient.Histogram({
        name: `camphorwharf_${name}`,
        help,
        labelNames: Object.keys(labels),
        buckets: [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 1, 5],
        registers: [this.registry],
      });
      this.histograms.set(name, histogram);
    }
    histogram.observe(labels, seconds);
  }

  /** Returns all metrics in the Prometheus text exposition format. */
  async exposition(): Promise<string> {
    const registered = await this.registry.metrics();
    // The registry takes 10 microseconds for each series of a counter, which
    // would stop the process for 0.1 s at the maximum number of routes.
    const lines: string[] = [];
    for (const [name, {help, read}] of this.counterSources) {
      lines.push(`# HELP camphorwharf_${name} ${help}`);
      lines.push(`# TYPE camphorwharf_${name} counter`);
      read((labels, value) =>
        lines.push(`camphorwharf_${name}{${labels}} ${value}`),
      );
    }
    lines.push('');
    return registered + lines.join('\n');
  }
}

/** Formats labels for the exposition. */
export function formatLabels(labels: Readonly<Record<string, string>>): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${escape(value)}"`)
    .join(',');
}

function escape(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
