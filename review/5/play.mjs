// A machine is cut off from the store for some seconds. Meanwhile the entry of
// the target beside it is removed.
import * as fleets from '../stand-ins/fleet.mjs';

const CUT_MS = 4_300;
const REMOVED_AFTER_MS = 500;
const STABLE_WINDOW_MS = 3_000;
const DRAIN_TIMEOUT_MS = 2_000;
const OBSERVED_MS = 6_000;
const INTERVAL_MS = 25;
const ROUNDS = 5;

await fleets.main(import.meta.url, async (record, hasTrouble) => {
  const fleet = await fleets.Fleet.start({
    hosts: ['parts', 'parts', 'parts', 'parts', 'parts', 'parts'],
    routes: [
      {
        name: 'parts',
        prefix: '/parts/',
        kind: 'idempotent',
        service: 'parts',
      },
    ],
    record,
    handleRun: run => setTimeout(() => fleets.answer(run), 50),
  });
  const broken = [];
  try {
    for (const host of fleet.hosts.slice(0, ROUNDS)) {
      broken.push(...(await playRound(fleet, host, record, hasTrouble)));
      // The target starts again, as a new instance.
      host.instance += '-again';
      fleet.store.write(`servers/${host.instance}`, fleet.entry(host));
      await fleets.delay(1_500);
    }
  } finally {
    await fleet.close();
  }
  return broken;
});

async function playRound(fleet, host, record, hasTrouble) {
  const load = sendRequests(fleet, host);
  await fleets.delay(500);
  record.write(`cut       ${host.name} from the store`);
  if (hasTrouble) host.storePath.cut();
  await fleets.delay(REMOVED_AFTER_MS);
  const {instance} = host;
  fleet.store.write(`servers/${instance}`, null);
  const removedMs = performance.now();
  record.write(`removed   ${instance}, the target beside ${host.name}`);
  await fleets.delay(CUT_MS - REMOVED_AFTER_MS);
  // The cut ends just after an attempt of the daemon, at the latest a second
  // later.
  if (hasTrouble) {
    await Promise.race([host.storePath.untilRefused(), fleets.delay(1_000)]);
    await fleets.delay(5);
  }
  host.storePath.heal();
  const healedMs = performance.now();
  record.write(`healed    ${host.name}`);
  await fleets.delay(OBSERVED_MS);
  const sentMs = await load.stop();
  const lateMs = [];
  for (const [id, atMs] of sentMs) {
    // Before, the machine is not in touch.
    if (atMs < healedMs + STABLE_WINDOW_MS) continue;
    for (const run of fleet.runs.get(id) ?? []) {
      const afterMs = run.atMs - removedMs;
      if (run.host !== host || afterMs <= DRAIN_TIMEOUT_MS) continue;
      lateMs.push(afterMs);
    }
  }
  if (lateMs.length === 0) return [];
  return [
    `DRAIN ${lateMs.length} requests reached ${instance} up to ` +
      `${Math.round(Math.max(...lateMs))} ms after its removal, sent ` +
      `${STABLE_WINDOW_MS} ms or more after the end of the cut`,
  ];
}

/** Sends requests of the clients of a host until it is stopped. */
function sendRequests(fleet, host) {
  const sentMs = new Map();
  const running = new Set();
  const timer = setInterval(() => {
    const id = `${host.name}-${sentMs.size}`;
    sentMs.set(id, performance.now());
    const answered = fleet.send(host, {
      id,
      method: 'GET',
      path: `/parts/${id}`,
    });
    running.add(answered);
    void answered.then(() => running.delete(answered));
  }, INTERVAL_MS);
  const stop = async () => {
    clearInterval(timer);
    await Promise.all(running);
    return sentMs;
  };
  return {stop};
}
