export {DEPLOYMENTS} from './deployments.js';
export type {Deployment} from './deployments.js';
export type {Measures, MeasureName} from './measures.js';
export {renderSvg} from './render-svg.js';
export {renderTable} from './render-table.js';
export {EXPERIMENTS, runExperiment} from './run-experiment.js';
export type {
  BoundCheck,
  ControlReport,
  ExperimentOptions,
  ExperimentReport,
} from './run-experiment.js';
