import * as runtime from '@camphorwharf/runtime';
import * as members from '../fleet-members.js';
import * as rateLimits from '../fleet-rate-limits.js';

const STEP_MS = 10;
const REPORT_MS = 400;
const SCARCE_REPORT_MS = 150;
const WINDOW_MS = 5_000;

/** Returns the specified maximum use within a window. */
export function windowBound(settings: rateLimits.LimitSettings): number {
  const {burst, ratePerSecond} = settings;
  return ((ratePerSecond * WINDOW_MS) / 1_000 + burst) * 1.25 + 20;
}

interface Host {
  name: string;
  incarnation: number;
  startedMs: number;
  fleet: members.FleetMembers;
  limits: rateLimits.FleetRateLimits;
  reportMs: number;
  upFromMs: number;
}

export interface Scenario {
  readonly hosts: number;
  readonly seconds: number;
  /** Null while the organisation is removed; its requests do not run then. */
  readonly settings: (nowMs: number) => rateLimits.LimitSettings | null;
  /** Requests per second that arrive at a host. */
  readonly demand: (host: number, nowMs: number) => number;
  /** Returns whether a report from one host reaches another. */
  readonly connected?: (from: number, to: number, nowMs: number) => boolean;
  /** Hosts that are killed at `atMs` and restart after `downMs`. */
  readonly kills?: ReadonlyArray<{
    readonly atMs: number;
    readonly hosts: readonly number[];
    readonly downMs: number;
  }>;
  /** Time from the start of a host until its first report. */
  readonly firstReportMs?: number;
  /** Returns the number of hosts that are listed; all by default. */
  readonly listed?: (nowMs: number) => number;
  /** Whether hosts that are not listed serve and report. */
  readonly unlistedServe?: boolean;
}

export interface Outcome {
  /** Maximum number of requests granted in any window. */
  readonly maximumInWindow: number;
  readonly requested: number;
  readonly granted: number;
  /** Returns the number of requests granted since `sinceMs`. */
  grantedSince(sinceMs: number): number;
  maximumInWindowSince(sinceMs: number): number;
}

/** Simulates the limit of one organisation on all hosts in virtual time. */
export function simulate(scenario: Scenario): Outcome {
  const start = (index: number, incarnation: number, nowMs: number): Host => {
    const fleet = new members.FleetMembers(`host-${index}`);
    const limits = new rateLimits.FleetRateLimits(
      fleet,
      nowMs,
      new runtime.SeededRandom(index * 100 + incarnation),
    );
    limits.configure(listOf(scenario.settings(nowMs)), nowMs);
    return {
      name: `host-${index}`,
      incarnation,
      startedMs: nowMs,
      fleet,
      limits,
      reportMs:
        nowMs + (scenario.firstReportMs ?? 0) + ((index * 37) % REPORT_MS),
      upFromMs: nowMs,
    };
  };
  const hosts = Array.from({length: scenario.hosts}, (_, index) =>
    start(index, 1, 0),
  );
  const pendingRequests = hosts.map((_, index) => (index * 0.37) % 1);
  const grantTimes: number[] = [];
  let requested = 0;
  let settings = scenario.settings(0);
  for (let nowMs = 0; nowMs < scenario.seconds * 1_000; nowMs += STEP_MS) {
    for (const kill of scenario.kills ?? []) {
      if (kill.atMs !== nowMs) continue;
      for (const index of kill.hosts) {
        const next = hosts[index].incarnation + 1;
        hosts[index] = start(index, next, nowMs + kill.downMs);
      }
    }
    const newSettings = scenario.settings(nowMs);
    const listedCount = scenario.listed?.(nowMs) ?? scenario.hosts;
    const listed = new Set(hosts.slice(0, listedCount).map(host => host.name));
    hosts.forEach((host, index) => {
      if (nowMs < host.upFromMs) return;
      if (index >= listedCount && !scenario.unlistedServe) return;
      if (newSettings !== settings) {
        host.limits.configure(listOf(newSettings), nowMs);
      }
      if (nowMs % 500 === 0 || nowMs === host.upFromMs) {
        host.fleet.setListed(listed, nowMs);
        host.limits.tick(nowMs);
      }
      pendingRequests[index] +=
        (scenario.demand(index, nowMs) * STEP_MS) / 1_000;
      while (pendingRequests[index] >= 1) {
        pendingRequests[index] -= 1;
        requested++;
        if (!newSettings) continue;
        const verdict = host.limits.tryTake(newSettings.name, nowMs);
        if (verdict.kind === 'granted') grantTimes.push(nowMs);
      }
      if (nowMs < host.reportMs) return;
      const intervalMs = host.limits.isScarce ? SCARCE_REPORT_MS : REPORT_MS;
      host.reportMs =
        nowMs + Math.max(intervalMs, host.fleet.minimumReportIntervalMs);
      const report = host.limits.nextReport(nowMs);
      hosts.forEach((other, otherIndex) => {
        if (otherIndex === index || nowMs < other.upFromMs) return;
        if (scenario.connected?.(index, otherIndex, nowMs) === false) return;
        other.limits.applyReport(
          host.name,
          `start-${host.incarnation}`,
          nowMs - host.startedMs,
          report,
          nowMs,
        );
      });
    });
    settings = newSettings;
  }
  return {
    maximumInWindow: maximumInWindow(grantTimes, 0),
    requested,
    granted: grantTimes.length,
    grantedSince: sinceMs => grantTimes.filter(atMs => atMs >= sinceMs).length,
    maximumInWindowSince: sinceMs => maximumInWindow(grantTimes, sinceMs),
  };
}

function maximumInWindow(
  grantTimes: readonly number[],
  sinceMs: number,
): number {
  let maximum = 0;
  let first = 0;
  const counted = grantTimes.filter(atMs => atMs >= sinceMs);
  counted.forEach((atMs, index) => {
    while (atMs - counted[first] >= WINDOW_MS) first++;
    maximum = Math.max(maximum, index - first + 1);
  });
  return maximum;
}

function listOf(
  settings: rateLimits.LimitSettings | null,
): readonly rateLimits.LimitSettings[] {
  return settings ? [settings] : [];
}
