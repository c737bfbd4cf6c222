import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';

/** A host and its availability zone; null if the zone is not known. */
export interface ReportReceiver {
  readonly host: string;
  readonly availabilityZone: string | null;
}

/** To whom one report is sent. */
export interface DistributionPlan {
  readonly direct: readonly string[];
  /** One host of each other zone, which forwards the report in its zone. */
  readonly forwarders: readonly string[];
}

/**
 * The other hosts to report to, by host. The zone of a host whose backend
 * server is no longer listed is not known.
 */
export function reportReceivers(
  servers: readonly routing.BackendServer[],
  unlistedHosts: ReadonlySet<string>,
  ownAddress: string,
): Map<string, ReportReceiver> {
  const receivers = new Map<string, ReportReceiver>();
  for (const host of unlistedHosts) {
    receivers.set(host, {host, availabilityZone: null});
  }
  for (const {hostAddress, availabilityZone} of servers) {
    if (hostAddress === ownAddress) continue;
    receivers.set(hostAddress, {host: hostAddress, availabilityZone});
  }
  return receivers;
}

/** Rounds from which the first one of a process is drawn. */
const FIRST_ROUNDS = 1_000;

/** Forwarding in a smaller zone would save nothing. */
const MINIMUM_FORWARDING_HOSTS = 3;

/**
 * Plans the distribution of reports, so that each crosses to another zone once.
 * The forwarders take turns: a forwarder that is frozen or unreachable loses
 * one report in as many as its zone has hosts, and no host forwards more than
 * the others.
 */
export class ReportDistribution {
  private round: number;

  constructor(
    private readonly ownZone: string,
    random: runtime.RandomSource,
  ) {
    // Hosts that start together should use different forwarders.
    this.round = Math.floor(random.next() * FIRST_ROUNDS);
  }

  /**
   * `canForward` tells whether a host is known to forward reports. The others
   * of its zone get them forwarded and directly, as they may be cut off from the
   * forwarder.
   */
  next(
    receivers: Iterable<ReportReceiver>,
    canForward: (host: string) => boolean,
  ): DistributionPlan {
    const direct: string[] = [];
    const byZone = new Map<string, string[]>();
    for (const {host, availabilityZone} of receivers) {
      if (availabilityZone === null || availabilityZone === this.ownZone) {
        direct.push(host);
        continue;
      }
      const hosts = byZone.get(availabilityZone);
      if (hosts) hosts.push(host);
      else byZone.set(availabilityZone, [host]);
    }
    const forwarders: string[] = [];
    for (const hosts of byZone.values()) {
      const able = hosts.filter(host => canForward(host));
      if (able.length < MINIMUM_FORWARDING_HOSTS) {
        direct.push(...hosts);
        continue;
      }
      forwarders.push(able[this.round % able.length]);
      direct.push(...hosts.filter(host => !canForward(host)));
    }
    this.round++;
    return {direct, forwarders};
  }
}
