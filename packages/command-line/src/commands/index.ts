import type * as clipanion from 'clipanion';

import * as check from './check.js';
import * as compile from './compile.js';
import * as cost from './cost.js';
import * as demo from './demo.js';
import * as diff from './diff.js';
import * as drain from './drain.js';
import * as experiment from './experiment.js';
import * as explain from './explain.js';
import * as load from './load.js';
import * as report from './report.js';
import * as status from './status.js';
import * as trace from './trace.js';
import * as where from './where.js';
import * as zones from './zones.js';

/** All commands of the binary; register a new command here. */
export const COMMANDS: readonly clipanion.CommandClass[] = [
  check.CheckCommand,
  explain.ExplainCommand,
  diff.DiffCommand,
  compile.CompileCommand,
  status.StatusCommand,
  drain.DrainCommand,
  demo.DemoCommand,
  experiment.ExperimentCommand,
  load.LoadCommand,
  cost.CostCommand,
  trace.TraceCommand,
  zones.ZonesCommand,
  report.ReportCommand,
  where.WhereCommand,
];
