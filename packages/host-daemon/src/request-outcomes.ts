import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as requestTally from './request-tally.js';

/**
 * Maximum number of routes, and of organisations, that are counted each by
 * itself. All further ones are counted together.
 */
const MAXIMUM_NAMES = 200;

/** Label of the names beyond the maximum. */
const OTHER = 'other';

/** Label of requests without a route or an organisation. */
const NONE = '';

/** What is known of a request that is counted. */
export interface CountedRequest {
  readonly route: Pick<routing.Route, 'name'> | null;
  readonly organisation: Pick<routing.Organisation, 'name'> | null;
  /** See `RoutedRequest.nested`. */
  readonly nested: boolean;
}

/** A request that has ended with an answer. */
type AnsweredRequest = CountedRequest & {
  readonly route: Pick<routing.Route, 'objectiveMs'>;
};

/** Tallies by name, of which there is a limited number. */
class Tallies {
  private readonly rows = new Map<string, requestTally.RequestTally>();
  private names = 0;

  constructor(private readonly labelsOf: (name: string) => string) {}

  of(name: string): requestTally.RequestTally {
    return this.rows.get(name) ?? this.add(name);
  }

  addReceived(add: runtime.AddSeries): void {
    for (const {labels, received} of this.rows.values()) add(labels, received);
  }

  addEnded(add: runtime.AddSeries): void {
    for (const tally of this.rows.values()) tally.addEnded(add);
  }

  private add(name: string): requestTally.RequestTally {
    if (name !== NONE && name !== OTHER) {
      if (this.names >= MAXIMUM_NAMES) return this.of(OTHER);
      this.names++;
    }
    const tally = new requestTally.RequestTally(this.labelsOf(name));
    this.rows.set(name, tally);
    return tally;
  }
}

/**
 * Counts the requests that enter at this daemon, by route and by organisation,
 * and how they end. A request is counted by no other daemon. Nested requests
 * are counted by route only, apart from those of clients: they are part of
 * requests that are counted where these entered.
 */
export class RequestOutcomes {
  private readonly routes = new Tallies(route =>
    runtime.formatLabels({route, nested: 'false'}),
  );
  private readonly nestedRoutes = new Tallies(route =>
    runtime.formatLabels({route, nested: 'true'}),
  );
  private readonly organisations = new Tallies(organisation =>
    runtime.formatLabels({organisation}),
  );

  constructor(metrics: Pick<runtime.Metrics, 'countFrom'>) {
    const {nestedRoutes, organisations, routes} = this;
    metrics.countFrom(
      'route_requests_received_total',
      'Requests that entered at this daemon, by route.',
      add => {
        routes.addReceived(add);
        nestedRoutes.addReceived(add);
      },
    );
    metrics.countFrom(
      'route_requests_ended_total',
      'Requests that entered at this daemon and have ended, by route.',
      add => {
        routes.addEnded(add);
        nestedRoutes.addEnded(add);
      },
    );
    metrics.countFrom(
      'organisation_requests_received_total',
      'Requests of clients that entered at this daemon, by organisation.',
      add => organisations.addReceived(add),
    );
    metrics.countFrom(
      'organisation_requests_ended_total',
      'Requests of clients that entered here and have ended, by organisation.',
      add => organisations.addEnded(add),
    );
  }

  noteReceived(request: CountedRequest): void {
    this.routeTally(request).received++;
    if (!request.nested) this.organisationTally(request).received++;
  }

  noteEnd(request: CountedRequest, end: requestTally.RequestEndName): void {
    this.routeTally(request).noteEnd(end);
    if (!request.nested) this.organisationTally(request).noteEnd(end);
  }

  noteRefusal(
    request: CountedRequest,
    place: requestTally.RefusalPlaceName,
    reason: requestTally.TalliedReason,
  ): void {
    this.routeTally(request).noteRefusal(place, reason);
    if (request.nested) return;
    this.organisationTally(request).noteRefusal(place, reason);
  }

  /** Records an answer of a backend server after `elapsedMs`. */
  noteAnswer(
    request: AnsweredRequest,
    status: number,
    elapsedMs: number,
  ): void {
    const {objectiveMs} = request.route;
    const isLate = objectiveMs > 0 && elapsedMs > objectiveMs;
    this.noteEnd(
      request,
      status >= 500 ? 'failed' : isLate ? 'late' : 'inTime',
    );
  }

  private routeTally({
    nested,
    route,
  }: CountedRequest): requestTally.RequestTally {
    return (nested ? this.nestedRoutes : this.routes).of(route?.name ?? NONE);
  }

  private organisationTally({
    organisation,
  }: CountedRequest): requestTally.RequestTally {
    return this.organisations.of(organisation?.name ?? NONE);
  }
}

/** Returns where a forwarded request was refused. */
export function refusalPlace({
  byServer,
  isAtEntry,
  reason,
}: {
  readonly byServer: boolean;
  readonly isAtEntry?: boolean;
  readonly reason: protocol.RefusalReasonName;
}): requestTally.RefusalPlaceName {
  if (byServer) return 'backendServer';
  return isAtEntry || reason === 'noTarget' ? 'entry' : 'target';
}
