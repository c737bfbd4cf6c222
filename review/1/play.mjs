// A target answers two requests with a body that doesn't end, in chunks of one
// byte. The daemon beside it has passed requests of its own clients, on kept
// connections, on to sound targets of another service.
import * as http from 'node:http';
import * as fleets from '../stand-ins/fleet.mjs';

const CLIENTS = 12;
const WORK_MS = 4_000;
/** Answers of the faulty target; the last two are spoilt. */
const ANSWERS = 70;
const SPOILT_ANSWERS = 2;
/** The target stops by itself after this much; a request lasts 5 s at most. */
const MAXIMUM_SENT_BYTES = 256 * 1024 * 1024;
const PIECE = Buffer.from('1\r\nx\r\n'.repeat(10_000));
/** The rule allows this many. */
const ALLOWED_CUTS = 3;

await fleets.main(import.meta.url, async (record, hasTrouble) => {
  let isSpoilt = false;
  const fleet = await fleets.Fleet.start({
    hosts: ['parts', 'booking', 'booking', 'front'],
    routes: [
      {
        name: 'parts',
        prefix: '/parts/',
        kind: 'idempotent',
        service: 'parts',
        timeout: '5000ms',
      },
      {
        name: 'book',
        prefix: '/book/',
        kind: 'non_idempotent',
        service: 'booking',
        timeout: '5000ms',
      },
    ],
    record,
    handleRun: run => {
      if (run.path.startsWith('/book/slow')) {
        setTimeout(() => fleets.answer(run), WORK_MS);
      } else if (isSpoilt && run.path.startsWith('/parts/')) {
        answerWithoutEnd(run, record);
      } else {
        fleets.answer(run);
      }
    },
  });
  try {
    const [host, , , front] = fleet.hosts;
    // One connection for each client, which is kept open.
    const agents = [];
    for (let number = 0; number < CLIENTS; number++) {
      const agent = new http.Agent({keepAlive: true, maxSockets: 1});
      agents.push(agent);
      await fleet.send(host, {id: `first-${number}`, path: '/book/1', agent});
    }
    for (let number = 1; number <= ANSWERS - SPOILT_ANSWERS; number++) {
      const id = `look-${number}`;
      await fleet.send(front, {id, method: 'GET', path: '/parts/1'});
    }
    const requests = agents.map((agent, number) => {
      const id = `slow-${number}`;
      const answered = fleet.send(host, {id, path: '/book/slow', agent});
      return {id, answered};
    });
    await fleets.delay(300);
    isSpoilt = hasTrouble;
    const looks = [];
    for (let number = 1; number <= SPOILT_ANSWERS; number++) {
      const id = `look-spoilt-${number}`;
      looks.push(fleet.send(front, {id, method: 'GET', path: '/parts/1'}));
    }
    const cuts = [];
    for (const {id, answered} of requests) {
      const {isComplete, error} = await answered;
      const [run] = fleet.runs.get(id) ?? [];
      if (isComplete || !run) continue;
      cuts.push(
        `LOST ${id}: passed on to ${run.host.name}, a sound target; the kept ` +
          `connection ended with ${error}`,
      );
    }
    await Promise.all(looks);
    if (host.exits.length > 0) {
      record.write(
        `the process of ${host.name} ended by itself: ${host.exits}`,
      );
    }
    for (const agent of agents) agent.destroy();
    return cuts.length > ALLOWED_CUTS ? cuts : [];
  } finally {
    await fleet.close();
  }
});

/** Sends one byte a chunk until the caller closes the connection. */
function answerWithoutEnd(run, record) {
  const {socket} = run.response;
  let sentBytes = 0;
  socket.on('error', () => undefined);
  socket.on('close', () =>
    record.write(`closed    ${run.id}, after ${sentBytes} bytes of its answer`),
  );
  socket.write(
    'HTTP/1.1 200 OK\r\n' +
      `${fleets.HEADERS.requestId}: ${run.id}\r\n` +
      `${fleets.HEADERS.proof}: proof of ${run.id}\r\n` +
      'Transfer-Encoding: chunked\r\n\r\n',
  );
  const send = () => {
    while (!socket.destroyed && sentBytes < MAXIMUM_SENT_BYTES) {
      sentBytes += PIECE.length;
      if (!socket.write(PIECE)) return;
    }
  };
  socket.on('drain', send);
  send();
}
