import type * as declaration from '@camphorwharf/declaration';
import type * as runtime from '@camphorwharf/runtime';
import * as standIns from '@camphorwharf/stand-ins';
import * as os from 'node:os';
import type * as deployments from '../demo/deployments.js';
import type * as fleets from '../demo/fleet.js';
import * as requests from '../demo/requests.js';
import * as output from '../output.js';
import * as bounds from './bounds.js';
import * as fleetSession from './fleet-session.js';
import type * as processUsage from './process-usage.js';
import * as statistics from './statistics.js';

/** Short, so that queueing at the backend servers does not dominate latency. */
const SERVICE_TIME_MS = 1;

/** Each call passes an entry daemon and a target daemon. */
const HOPS = 2;

/** Maximum duration of the measurement without calls. */
const MAXIMUM_IDLE_MS = 5_000;

export interface LoadOptions {
  readonly deployment: deployments.DemoDeployment;
  readonly document: declaration.PublishedDocument;
  /** Calls per second on each of the two paths. */
  readonly rate: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
  readonly seed: number;
  readonly clock: runtime.Clock;
  readonly progress: (message: string) => void;
}

/** Results of one path, either direct or through the daemons. */
export interface PathResult {
  readonly latency: standIns.LatencySummary;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly incompletePercent: number;
}

export interface LoadReport {
  readonly deployment: string;
  readonly seed: number;
  readonly rate: number;
  readonly seconds: number;
  readonly daemons: number;
  readonly direct: PathResult;
  readonly throughDaemons: PathResult;
  readonly addedMs: {readonly p50: number; readonly p99: number};
  readonly addedPerHopMs: {readonly p50: number; readonly p99: number};
  /** CPU time of all daemons divided by the number of completed calls. */
  readonly cpuMsPerCall: number;
  /** The same minus the CPU time that the daemons use without calls. */
  readonly cpuMsPerCallWithoutControl: number;
  readonly residentMb: {readonly median: number; readonly maximum: number};
  /** Load averages of the machine over 1, 5 and 15 minutes, at the end. */
  readonly loadAverage: readonly number[];
  readonly processors: number;
  readonly verdicts: readonly bounds.Verdict[];
}

/** Measures direct calls and calls through daemons in the same run. */
export function measureLoad(options: LoadOptions): Promise<LoadReport> {
  const deployment = {
    ...options.deployment,
    services: options.deployment.services.map(service => ({
      ...service,
      serviceTimeMs: SERVICE_TIME_MS,
    })),
  };
  return fleetSession.withFleet({...options, deployment}, fleet =>
    measureFleet(options, fleet),
  );
}

async function measureFleet(
  options: LoadOptions,
  fleet: fleets.DemoFleet,
): Promise<LoadReport> {
  const {clock, progress, seed, rate, seconds} = options;
  progress(`warm-up of ${options.warmUpSeconds} s`);
  await runBothPaths(options, fleet, options.warmUpSeconds, seed + 1_000);
  const idleMs = Math.min(MAXIMUM_IDLE_MS, 1_000 * seconds);
  progress(`measuring daemons without calls for ${idleMs / 1_000} s`);
  const idle = await measureCpu(fleet, clock, () => clock.delay(idleMs));
  progress(`${rate} calls/s on each path for ${seconds} s`);
  const busy = await measureCpu(fleet, clock, () =>
    runBothPaths(options, fleet, seconds, seed),
  );
  const [direct, throughDaemons] = busy.result.map(toPathResult) as [
    PathResult,
    PathResult,
  ];
  const calls = throughDaemons.latency.count;
  const controlSeconds = (idle.cpuSeconds / idle.elapsedMs) * busy.elapsedMs;
  const addedMs = subtractQuantiles(throughDaemons.latency, direct.latency);
  const resident = busy.usages.map(usage => usage.residentBytes / 1e6);
  return {
    deployment: options.deployment.name,
    seed,
    rate,
    seconds,
    daemons: fleet.hosts.length,
    direct,
    throughDaemons,
    addedMs,
    addedPerHopMs: {p50: addedMs.p50 / HOPS, p99: addedMs.p99 / HOPS},
    cpuMsPerCall: (1_000 * busy.cpuSeconds) / calls,
    cpuMsPerCallWithoutControl:
      (1_000 * (busy.cpuSeconds - controlSeconds)) / calls,
    residentMb: {
      median: statistics.median(resident),
      maximum: Math.max(...resident),
    },
    loadAverage: os.loadavg(),
    processors: os.availableParallelism(),
    verdicts: [
      bounds.compareWithBound(bounds.BOUNDS.addedLatency, addedMs.p99),
      // Quantiles cover completed calls only, so refused calls improve them;
      // this bound limits the effect.
      bounds.compareWithBound(
        bounds.BOUNDS.incomplete,
        Math.max(direct.incompletePercent, throughDaemons.incompletePercent),
      ),
    ],
  };
}

/** Runs both paths concurrently, so that both see the same machine load. */
function runBothPaths(
  options: LoadOptions,
  fleet: fleets.DemoFleet,
  seconds: number,
  seed: number,
): Promise<standIns.LoadResults[]> {
  const request = options.deployment.requests[0]!;
  const targets = fleet.hostsOfService(request.service);
  const directUrl = `http://127.0.0.1:${targets[0]!.backendServerPort}`;
  // Entry daemons of other services, so that each call takes both hops.
  const entryUrls = fleet.callerUrls(
    new Set(targets.map(({entry}) => entry.hostId)),
  );
  const organisations = options.document.organisations.map(organisation =>
    requests.toLoadOrganisation(organisation, 1),
  );
  const run = (urls: readonly string[], runSeed: number) =>
    new standIns.LoadGenerator({
      entryUrls: () => urls,
      organisations,
      requests: [request],
      requestsPerSecond: options.rate,
      durationMs: 1_000 * seconds,
      seed: runSeed,
      clock: options.clock,
    }).run();
  return Promise.all([run([directUrl], seed), run(entryUrls, seed + 1)]);
}

async function measureCpu<T>(
  fleet: fleets.DemoFleet,
  clock: runtime.Clock,
  callback: () => Promise<T>,
): Promise<{
  readonly result: T;
  readonly cpuSeconds: number;
  readonly elapsedMs: number;
  readonly usages: readonly processUsage.ProcessUsage[];
}> {
  const startMs = clock.monotonicMs();
  const before = fleetSession.daemonUsages(fleet);
  const result = await callback();
  const usages = fleetSession.daemonUsages(fleet);
  const totalCpuSeconds = (list: readonly processUsage.ProcessUsage[]) =>
    list.reduce((sum, {cpuSeconds}) => sum + cpuSeconds, 0);
  return {
    result,
    cpuSeconds: totalCpuSeconds(usages) - totalCpuSeconds(before),
    elapsedMs: clock.monotonicMs() - startMs,
    usages,
  };
}

function toPathResult(results: standIns.LoadResults): PathResult {
  const {outcomes} = results;
  const finished = Object.values(outcomes).reduce(
    (sum, count) => sum + count,
    0,
  );
  const completed = results.count('completed');
  const calls = finished + results.notSent;
  return {
    latency: results.latency(),
    outcomes: {...outcomes},
    incompletePercent: (100 * (calls - completed)) / calls,
  };
}

function subtractQuantiles(
  left: standIns.LatencySummary,
  right: standIns.LatencySummary,
): {p50: number; p99: number} {
  const empty = left.count === 0 || right.count === 0;
  return empty
    ? {p50: NaN, p99: NaN}
    : {p50: left.p50 - right.p50, p99: left.p99 - right.p99};
}

function formatOtherOutcomes({outcomes}: PathResult): string {
  return Object.entries(outcomes)
    .filter(([name]) => name !== 'completed')
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}

/** Formats the report as text tables. */
export function renderLoad(report: LoadReport): string {
  const formatMilliseconds = (value: number) => value.toFixed(3);
  const {direct, throughDaemons, addedMs, addedPerHopMs} = report;
  const latencies = output.formatTable([
    ['path', 'completed', 'p50 ms', 'p99 ms', 'other outcomes'],
    ...(
      [
        ['direct', direct.latency, formatOtherOutcomes(direct)],
        [
          'through daemons',
          throughDaemons.latency,
          formatOtherOutcomes(throughDaemons),
        ],
        ['added per call', {count: null, ...addedMs}, ''],
        ['added per hop', {count: null, ...addedPerHopMs}, ''],
      ] as const
    ).map(([name, {count, p50, p99}, others]) => [
      name,
      count,
      formatMilliseconds(p50),
      formatMilliseconds(p99),
      others,
    ]),
  ]);
  const costs = output.formatTable([
    ['cost of the daemons', 'value', 'unit'],
    ['CPU per call', formatMilliseconds(report.cpuMsPerCall), 'ms'],
    [
      'CPU per call without control work',
      formatMilliseconds(report.cpuMsPerCallWithoutControl),
      'ms',
    ],
    ['resident memory, median', report.residentMb.median.toFixed(1), 'MB'],
    ['resident memory, maximum', report.residentMb.maximum.toFixed(1), 'MB'],
  ]);
  const verdicts = output.formatTable(bounds.verdictRows(report.verdicts));
  const averages = report.loadAverage.map(value => value.toFixed(1)).join(', ');
  return (
    `deployment ${report.deployment}, ${report.daemons} daemons, seed ${report.seed}, ` +
    `${report.rate} calls/s on each path for ${report.seconds} s\n` +
    `load average ${averages} on ${report.processors} processors\n\n` +
    `${latencies}\n${costs}\n${verdicts}`
  );
}
