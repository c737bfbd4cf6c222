import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import type * as bodyMemory from './body-memory.js';
import type * as fleetState from './fleet-state.js';
import * as listedTargets from './listed-targets.js';
import type * as requestForwarder from './request-forwarder.js';
import * as requestPriority from './request-priority.js';
import type * as responseBuilder from './response-builder.js';
import type * as requestSuccess from './request-success.js';
import * as sheddingDecider from './shedding-decider.js';
import type * as stopSchedule from './stop-schedule.js';

/** Bounds of the response. */
const MAXIMUM_DESTINATIONS = 8;
const MAXIMUM_KNOWN_NAMES = 20;

/** A preview uses a generator of its own, and the same numbers each time. */
const SEED = 1;

export interface RequestPreviewOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly state: Pick<
    fleetState.FleetState,
    'directory' | 'evacuatedZones' | 'index' | 'version'
  >;
  readonly limits: Pick<fleetLimits.FleetRateLimits, 'preview'>;
  readonly shedding: Pick<sheddingDecider.SheddingDecider, 'preview'>;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: Partial<Pick<requestSuccess.RequestSuccess, 'preview'>>;
  readonly forwarder: Pick<requestForwarder.RequestForwarder, 'previewTargets'>;
  readonly stopSchedule: Pick<stopSchedule.StopSchedule, 'mayBegin'>;
  /** The accounts of the process; not shown if absent. */
  readonly memory?: Pick<bodyMemory.ProcessMemory, 'callers' | 'received'>;
}

/** What would become of a request that entered now. */
export interface PreviewedRequest {
  readonly kind: 'preview';
  readonly route: string;
  readonly organisation: string | null;
  readonly nested: boolean;
  readonly configuration: number;
  /** Null without a limit, or if the request takes no token. */
  readonly limit: fleetLimits.LimitPreview | null;
  readonly memory: MemoryPreview | null;
  /** Refusal before a service is selected. */
  readonly refusal: protocol.RefusalReasonName | null;
  readonly destinations: readonly DestinationPreview[];
  /** Number of further destinations of the route. */
  readonly omittedDestinations: number;
}

/** Bytes that are held, and their limits. */
export interface MemoryPreview {
  readonly responseBytes: number;
  readonly responseLimitBytes: number;
  readonly responseBytesWaiting: number;
  readonly receivedBodyBytes: number;
}

/** A service that requests of the route are sent to. */
export interface DestinationPreview extends listedTargets.TargetList {
  readonly service: string;
  /** Share of the requests of the route. */
  readonly share: number;
  /** Whether the next request is sent to it. */
  readonly isNext: boolean;
  /** Share of such requests that would be admitted here. */
  readonly admittedShare: number;
  /** Why not all are admitted. */
  readonly refusal: protocol.RefusalReasonName | null;
  readonly shedding: responseBuilder.SheddingDecision | null;
}

export type PreviewResult =
  | PreviewedRequest
  | {
      readonly kind: 'unknown';
      readonly subject: 'route' | 'organisation';
      /** Some of the known names. */
      readonly known: readonly string[];
    }
  /** No configuration is known yet. */
  | {readonly kind: 'notReady'};

/**
 * Shows what would become of a request, without one: whether it would be
 * admitted and where it would be sent. It asks the same objects as a request,
 * takes no tokens, draws no random numbers of theirs and changes none of their
 * state.
 */
export class RequestPreview {
  constructor(private readonly options: RequestPreviewOptions) {}

  /** `organisation` is null for a request without a key. */
  preview(routeName: string, organisationName: string | null): PreviewResult {
    const {limits, state, stopSchedule} = this.options;
    const {index} = state;
    if (!index) return {kind: 'notReady'};
    const {configuration, organisations} = index;
    const {routes} = configuration;
    const route = routes.find(({name}) => name === routeName);
    if (!route) return unknown('route', routes);
    const organisation =
      organisations.find(({name}) => name === organisationName) ?? null;
    if (organisationName !== null && !organisation) {
      return unknown('organisation', organisations);
    }
    const nowMs = this.options.clock.monotonicMs();
    const nested = organisation === null && route.isPublic;
    const limit = organisation && limits.preview(organisation.name, nowMs);
    const request = {route, organisation, nested, limit};
    const isKeyMissing =
      organisation === null && index.checkKey(route, null).kind === 'missing';
    const deadlineMs = nowMs + route.timeoutMs;
    const isStopping = !stopSchedule.mayBegin({nested, deadlineMs}, nowMs);
    const next = index.peekService(route);
    return {
      kind: 'preview',
      route: route.name,
      organisation: organisation?.name ?? null,
      nested,
      configuration: state.version,
      limit,
      memory: this.memory(),
      refusal: isKeyMissing
        ? 'keyMissing'
        : isStopping
          ? 'targetLeaving'
          : next === null
            ? 'noTarget'
            : null,
      destinations: route.destinations
        .slice(0, MAXIMUM_DESTINATIONS)
        .map(destination =>
          this.destination(request, destination, next, nowMs),
        ),
      omittedDestinations: Math.max(
        0,
        route.destinations.length - MAXIMUM_DESTINATIONS,
      ),
    };
  }

  private destination(
    {limit, nested, organisation, route}: EnteringRequest,
    {service, weight}: routing.Destination,
    next: string | null,
    nowMs: number,
  ): DestinationPreview {
    const {forwarder, shedding, state, success} = this.options;
    const priority = requestPriority.requestPriority(organisation, route);
    const unlikely = nested ? null : success?.preview?.(route.name, nowMs);
    const shed = nested
      ? null
      : unlikely
        ? {...sheddingDecider.lowSuccess(unlikely, priority), share: 1}
        : shedding.preview({route, service, organisation, priority});
    const candidates = forwarder.previewTargets(
      service,
      route,
      new runtime.SeededRandom(SEED),
      nowMs,
    );
    const grantedShare = limit?.grantedShare ?? 1;
    const hasTarget = candidates.some(({chosenShare}) => chosenShare > 0);
    const total = route.destinations.reduce((sum, {weight}) => sum + weight, 0);
    return {
      service,
      share: total > 0 ? weight / total : 0,
      isNext: service === next,
      admittedShare: hasTarget ? (1 - (shed?.share ?? 0)) * grantedShare : 0,
      refusal: shed
        ? 'overloaded'
        : grantedShare < 1
          ? 'limitExceeded'
          : hasTarget
            ? null
            : 'noTarget',
      shedding: shed,
      ...listedTargets.targetList(service, candidates, state, nowMs),
    };
  }

  private memory(): MemoryPreview | null {
    const {memory} = this.options;
    if (!memory) return null;
    const {responses} = memory.callers.clientMemory;
    return {
      responseBytes: responses.bytes,
      responseLimitBytes: responses.limitBytes,
      responseBytesWaiting: responses.bytesWaiting,
      receivedBodyBytes: memory.received.bytes,
    };
  }
}

interface EnteringRequest {
  readonly route: routing.Route;
  readonly organisation: routing.Organisation | null;
  readonly nested: boolean;
  readonly limit: fleetLimits.LimitPreview | null;
}

function unknown(
  subject: 'route' | 'organisation',
  known: ReadonlyArray<{readonly name: string}>,
): PreviewResult {
  const names = known.slice(0, MAXIMUM_KNOWN_NAMES).map(({name}) => name);
  return {kind: 'unknown', subject, known: names};
}
