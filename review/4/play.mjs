// A daemon that finishes its requests after SIGTERM gets SIGTERM once more,
// because its target has terminated in the meantime.
import * as fleets from '../stand-ins/fleet.mjs';

const WORK_MS = 1_500;
const REQUESTS = 10;

await fleets.main(import.meta.url, async (record, hasTrouble) => {
  const fleet = await fleets.Fleet.start({
    hosts: ['front', 'booking', 'booking'],
    routes: [
      {
        name: 'book',
        prefix: '/book/',
        kind: 'non_idempotent',
        service: 'booking',
        timeout: '5000ms',
      },
    ],
    record,
    handleRun: run => setTimeout(() => fleets.answer(run), WORK_MS),
  });
  try {
    const [front] = fleet.hosts;
    // The target of this machine leaves, as planned.
    fleet.store.write(
      `servers/${front.instance}`,
      fleet.entry(front, {phase: 'draining'}),
    );
    record.write(`draining  ${front.instance}`);
    await fleets.delay(1_700);
    const requests = [];
    for (let number = 0; number < REQUESTS; number++) {
      const id = `request-${number}`;
      requests.push({
        id,
        answered: fleet.send(front, {id, path: `/book/${id}`}),
      });
    }
    await fleets.delay(300);
    const stop = fleet.stop(front);
    await fleets.delay(300);
    fleet.store.write(`servers/${front.instance}`, null);
    front.backendServer.close();
    front.backendServer.closeAllConnections();
    record.write(`ended     ${front.instance}`);
    // Without the trouble, the platform leaves it at the first SIGTERM.
    if (hasTrouble) fleet.signal(front, 'SIGTERM');
    const broken = [];
    for (const {id, answered} of requests) {
      const {isComplete, error} = await answered;
      const runs = fleet.runs.get(id) ?? [];
      if (isComplete || runs.length === 0) continue;
      broken.push(`LOST ${id}: passed on, connection ended with ${error}`);
    }
    await stop;
    return broken;
  } finally {
    await fleet.close();
  }
});
