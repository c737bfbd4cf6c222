import * as admission from '@camphorwharf/admission';
import type * as routing from '@camphorwharf/routing';
import type * as hostDaemonOptions from './host-daemon-options.js';
import * as requestCosts from './request-costs.js';
import * as requestSuccess from './request-success.js';

/**
 * What a daemon knows of the pressures of services, and of the costs and the
 * success of requests.
 */
export interface ServicePressures {
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /**
   * Downstream pressure reported by the services that this host sends requests
   * to.
   */
  readonly entryPressure: admission.PressureTable;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: requestCosts.RequestCosts;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: requestSuccess.RequestSuccess;
}

export function createServicePressures(
  options: hostDaemonOptions.HostDaemonOptions,
  index: () => routing.ConfigurationIndex | null,
): ServicePressures {
  const {clock, metrics, random, settings} = options;
  const {minimumSuccess = 0} = settings;
  return {
    downstream: new admission.DownstreamPressure(),
    entryPressure: new admission.PressureTable(),
    ...(settings.costAdmission
      ? {
          costs: new requestCosts.RequestCosts({
            clock,
            metrics,
            random,
            ownService: settings.service,
            index,
          }),
        }
      : {}),
    ...(minimumSuccess > 0
      ? {
          success: new requestSuccess.RequestSuccess({
            clock,
            metrics,
            minimumSuccess,
            index,
          }),
        }
      : {}),
  };
}
