// A configuration that takes the last tenant away lets every key, and none, in.
import path from 'node:path';
import * as clients from '../stand-ins-2/clients.mjs';
import * as fleets from '../stand-ins-2/fleet.mjs';

const {names} = fleets;

const WITH_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'orders.example';
/** `config_apply` and a second more. */
const APPLY_MS = 3_000;
const FIRST_KEY = 'wvtzq4dn8hs2kpy6mjar';
const SECOND_KEY = 'c7xgbn3rfe9uqtd5wlok';
const NEVER_HELD_KEY = 'never-held-by-any-configuration';
const REQUESTS = 5;

const record = new fleets.RunRecord(
  path.join(import.meta.dirname, 'record.txt'),
);
const fleet = new fleets.Fleet([{service: 'shop'}, {service: 'orders'}]);
const [shopHost, ordersHost] = fleet.hosts;
const runs = new Map();

function serveTarget(host) {
  return (request, response) => {
    const id = request.headers[names.requestId.toLowerCase()];
    if (request.url === '/healthz') {
      response.writeHead(200, {[names.instanceId]: host.instance});
      response.end();
      return;
    }
    request.resume();
    const tenant = request.headers[names.tenantId.toLowerCase()] ?? 'none';
    record.line(`target of ${host.service} runs ${id}, tenant ${tenant}`);
    runs.set(id, (runs.get(id) ?? 0) + 1);
    response.writeHead(200, {
      [names.requestId]: id,
      [names.signature]: `proof-${id}`,
      'Content-Length': 4,
    });
    response.end('done');
  };
}

function writeConfiguration(version, tenants) {
  fleet.writeConfiguration(
    fleets.configuration({
      version,
      routes: [
        {
          name: 'r-orders',
          host: HOST,
          prefix: '/orders/',
          kind: 'non_idempotent',
          timeout: '2000ms',
          aim: '1000ms',
          priority: 1,
          max_attempts: 2,
          public: false,
          service: 'orders',
        },
      ],
      services: ['shop', 'orders'],
      tenants,
    }),
  );
  const written = tenants.map(
    tenant => `${tenant.name} with ${tenant[names.keys].length} keys`,
  );
  record.line(
    `the store acknowledges configuration ${version}, tenants: ` +
      (written.join(', ') || 'none'),
  );
}

/** Sends requests with a key and returns how many of them ran. */
async function sendWith(name, key) {
  let ran = 0;
  for (let count = 0; count < REQUESTS; count++) {
    const connection = new clients.KeptConnection(
      fleet.ports.callers,
      shopHost.address,
    );
    const fields = key === null ? {} : {Authorization: `Token ${key}`};
    const {id, status} = await connection.request('POST', '/orders/a', HOST, {
      deadlineMs: 2_000,
      fields,
    });
    connection.close();
    if (runs.has(id)) ran++;
    record.line(`client sends ${id} with ${name}: ${status}`);
  }
  return ran;
}

async function play() {
  for (const host of fleet.hosts) {
    await fleet.serveTarget(host, serveTarget(host));
  }
  const tenant = {
    name: 'pulo780',
    [names.keys]: [FIRST_KEY, SECOND_KEY],
    priority: 1,
    [names.rate]: 0,
    burst: 0,
  };
  writeConfiguration(1, [tenant]);
  for (const host of fleet.hosts) fleet.register(host);
  await fleet.startAll();
  await sendWith('a key of the tenant', FIRST_KEY);
  await sendWith('a key that no configuration held', NEVER_HELD_KEY);

  writeConfiguration(2, WITH_TROUBLE ? [] : [tenant]);
  await fleets.sleep(APPLY_MS);
  const withTaken = await sendWith('the key of before', FIRST_KEY);
  const withNeverHeld = await sendWith(
    'a key that no configuration held',
    NEVER_HELD_KEY,
  );
  const withoutKey = await sendWith('no key', null);
  const taken = WITH_TROUBLE ? withTaken : 0;
  record.line(
    `after configuration 2, of ${REQUESTS} each, ran with a key that was taken ` +
      `away: ${taken}; with a key that no configuration held: ` +
      `${withNeverHeld}; without a key, on a route that is not public: ` +
      `${withoutKey}`,
  );
  return taken + withNeverHeld + withoutKey;
}

let exitCode = 2;
try {
  await fleet.open();
  exitCode = (await play()) > 0 ? 1 : 0;
} catch (error) {
  record.line(`could not run: ${error.message}`);
} finally {
  await fleet.close();
}
process.exit(exitCode);
