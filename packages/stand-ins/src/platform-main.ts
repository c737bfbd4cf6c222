import * as util from 'node:util';
import * as platform from './platform.js';

// Runs the platform stand-in as a process. Port 0 selects any free port.
const {values} = util.parseArgs({
  options: {
    'port': {type: 'string', default: '0'},
    'host-list-lag-ms': {type: 'string', default: '0'},
  },
});
const server = new platform.PlatformStandIn({
  hostListLagMs: Number(values['host-list-lag-ms']),
  control: true,
});
const port = await server.listen(Number(values.port));
process.stdout.write(`${JSON.stringify({event: 'listening', port})}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => void server.close().then(() => process.exit(0)));
}
