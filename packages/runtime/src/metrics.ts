import * as promClient from 'prom-client';

/**
 * The Prometheus metrics of one process. Each metric is registered on first
 * use, under its name with the prefix `camphorwharf_`.
 */
export class Metrics {
  readonly registry = new promClient.Registry();
  private readonly counters = new Map<string, promClient.Counter>();
  private readonly gauges = new Map<string, promClient.Gauge>();
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
  exposition(): Promise<string> {
    return this.registry.metrics();
  }
}
