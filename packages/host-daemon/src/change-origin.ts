import type * as stateReports from './state-reports.js';

/** Where a change of the published state comes from. */
export interface ChangeOrigin {
  /** Era of the message that contained it. */
  readonly era: number;
  readonly source: stateReports.ChangeSource;
  readonly nowMs: number;
}
