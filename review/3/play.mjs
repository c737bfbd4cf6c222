// A planned stop of the daemon beside a target, while the target works on
// requests that other machines have passed on to it.
import * as fleets from '../stand-ins/fleet.mjs';

const WORK_MS = 3_400;
const REQUESTS_PER_FRONT = 10;
const GRACE_MS = 6_000;
/** A request may be cut in the last sixth of the grace. */
const EXCUSED_FROM_MS = (GRACE_MS * 5) / 6;

await fleets.main(import.meta.url, async (record, hasTrouble) => {
  const fleet = await fleets.Fleet.start({
    // In ascending order of address.
    hosts: ['booking', 'booking', 'front', 'front'],
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
    const [stoppedTarget, , front, stoppedFront] = fleet.hosts;
    const requests = [];
    for (let number = 0; number < REQUESTS_PER_FRONT; number++) {
      for (const host of [front, stoppedFront]) {
        const id = `${host.name}-${number}`;
        const answered = fleet.send(host, {id, path: `/book/${id}`});
        requests.push({id, host, answered});
      }
    }
    await fleets.delay(300);
    const stoppedMs = performance.now();
    const stops = hasTrouble
      ? [
          fleet.stop(stoppedTarget, GRACE_MS),
          fleet.stop(stoppedFront, GRACE_MS),
        ]
      : [];
    const broken = [];
    for (const {id, host, answered} of requests) {
      const answer = await answered;
      const {status, isComplete, atMs} = answer;
      const [run] = fleet.runs.get(id) ?? [];
      const isOwnAnswer =
        isComplete && !fleets.headerOf(answer, fleets.HEADERS.proof);
      if (!run?.isBrokenOff || (isComplete && !isOwnAnswer)) continue;
      const afterMs = Math.round(run.brokenOffMs - stoppedMs);
      if (afterMs >= EXCUSED_FROM_MS) continue;
      const line =
        `LOST ${id}: broken off at ${run.host.name} ${afterMs} ms after ` +
        `SIGTERM, answered ${status ?? 'nothing'} ` +
        `${Math.round(atMs - stoppedMs)} ms after it`;
      // Only requests that a stopped machine took from its client are judged.
      if (host === stoppedFront) broken.push(line);
      else record.write(`beside    ${line}`);
    }
    await Promise.all(stops);
    return broken;
  } finally {
    await fleet.close();
  }
});
