import * as util from 'node:util';
import * as backendServer from './backend-server.js';

// Runs the backend server stand-in as a process. `POST /control` injects faults
// and returns the report.
const {values} = util.parseArgs({
  options: {
    'port': {type: 'string', default: '0'},
    'service': {type: 'string', default: 'catalogue'},
    'slots': {type: 'string', default: '35'},
    'connection-limit': {type: 'string', default: '300'},
    'service-time-ms': {type: 'string', default: '10'},
    'sigma': {type: 'string', default: '0.3'},
    'seed': {type: 'string', default: '1'},
    'cold-start-ms': {type: 'string', default: '0'},
    'report-lag-ms': {type: 'string', default: '0'},
    'answer-bytes': {type: 'string', default: '0'},
    'daemon-url': {type: 'string'},
    'downstream': {type: 'string', default: '[]'},
  },
});
const server = new backendServer.BackendServerStandIn({
  service: values.service,
  slots: Number(values.slots),
  connectionLimit: Number(values['connection-limit']),
  serviceTimeMs: Number(values['service-time-ms']),
  sigma: Number(values.sigma),
  seed: Number(values.seed),
  coldStartMs: Number(values['cold-start-ms']),
  reportLagMs: Number(values['report-lag-ms']),
  answerBytes: Number(values['answer-bytes']),
  daemonUrl: values['daemon-url'],
  downstream: JSON.parse(
    values.downstream,
  ) as readonly backendServer.DownstreamCall[],
});
const port = await server.listen(Number(values.port));
process.stdout.write(`${JSON.stringify({event: 'listening', port})}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => void server.close().then(() => process.exit(0)));
}
