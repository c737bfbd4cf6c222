// A daemon that stops begins calls late in the grace and breaks them off.
//
// Targets of `claims` call `ledger` through their daemon. That daemon gets
// SIGTERM while three claims run; each of them makes its call over four seconds
// after the signal, and the run at the target of `ledger` takes 1.3 s.
import http from 'node:http';
import path from 'node:path';
import * as fleets from '../stand-ins-2/fleet.mjs';

const {names} = fleets;

const WITH_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'claims.example';
const CLAIMS = 3;
const USUAL_CALLS = 120;
const USUAL_WORK_MS = 70;
const LONG_WORK_MS = 1_300;
/** When the claims call `ledger`, after the signal. */
const FIRST_CALL_MS = 4_100;
const CALL_INTERVAL_MS = 100;
const CLAIM_DEADLINE_MS = 9_000;
/** Requests that are sent later than this after a SIGTERM are not excused. */
const EXCUSED_MS = 3_000;

const record = new fleets.RunRecord(
  path.join(import.meta.dirname, 'record.txt'),
);
const fleet = new fleets.Fleet([
  {service: 'claims'},
  {service: 'ledger'},
  {service: 'shop'},
]);
const [claimsHost, ledgerHost, shopHost] = fleet.hosts;
/** Calls of claims: when they were sent, how they ended, what the target saw. */
const calls = new Map();
let signalledMs = null;
let claimCount = 0;

const sinceSignal = () => Date.now() - signalledMs;

function answer(request, response, status = 200) {
  const id = request.headers[names.requestId.toLowerCase()];
  response.writeHead(status, {
    [names.requestId]: id,
    [names.signature]: `proof-${id}`,
    'Content-Length': 4,
  });
  response.end('done');
}

function answeredHealth(host, request, response) {
  if (request.url !== '/healthz') return false;
  response.writeHead(200, {[names.instanceId]: host.instance}).end();
  return true;
}

/** Sends a request as a client, or as the target beside a daemon. */
function send(host, url, deadlineMs, id = fleets.requestId()) {
  return new Promise(resolve => {
    const request = http.get(
      {
        host: host.address,
        port: fleet.ports.callers,
        path: url,
        agent: false,
        headers: {
          Host: HOST,
          [names.requestId]: id,
          [names.deadline]: String(deadlineMs),
        },
      },
      response => {
        response.resume();
        response.on('close', () =>
          resolve({
            status: response.complete ? response.statusCode : 0,
            isSigned: Boolean(response.headers[names.signature.toLowerCase()]),
          }),
        );
      },
    );
    request.on('error', () => resolve({status: 0, isSigned: false}));
  });
}

async function serveClaims(request, response) {
  if (answeredHealth(claimsHost, request, response)) return;
  request.resume();
  const callMs = FIRST_CALL_MS + CALL_INTERVAL_MS * claimCount++;
  while (signalledMs === null) await fleets.sleep(10);
  await fleets.sleep(callMs - sinceSignal());
  const id = fleets.requestId();
  const call = {sentMs: sinceSignal(), ranMs: 0, isCutOff: false, end: null};
  calls.set(id, call);
  record.line(
    `${call.sentMs} ms after the signal: the target of claims sends ${id}`,
  );
  call.end = await send(claimsHost, '/ledger/long', 4_500, id);
  record.line(
    `${sinceSignal()} ms after the signal: the target of claims gets ` +
      `${call.end.status || 'no answer'} for ${id}, ` +
      `${call.end.isSigned ? '' : 'not '}signed by a target`,
  );
  // A target whose call fails responds with 500.
  answer(request, response, call.end.status === 200 ? 200 : 500);
}

async function serveLedger(request, response) {
  if (answeredHealth(ledgerHost, request, response)) return;
  request.resume();
  const call = calls.get(request.headers[names.requestId.toLowerCase()]);
  if (call) record.line(`target of ledger runs its call of ${call.sentMs} ms`);
  const startedMs = Date.now();
  response.on('close', () => {
    if (!call || response.writableFinished) return;
    call.isCutOff = true;
    call.ranMs = Date.now() - startedMs;
    record.line(
      `target of ledger is cut off after ${call.ranMs} ms of its call of ` +
        `${call.sentMs} ms`,
    );
  });
  await fleets.sleep(call ? LONG_WORK_MS : USUAL_WORK_MS);
  if (!response.destroyed) answer(request, response);
}

async function play() {
  const route = (name, kind, timeout) => ({
    name: `r-${name}`,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    timeout,
    aim: '1000ms',
    priority: 1,
    max_attempts: 2,
    public: true,
    service: name,
  });
  await fleet.serveTarget(claimsHost, serveClaims);
  await fleet.serveTarget(ledgerHost, serveLedger);
  fleet.writeConfiguration(
    fleets.configuration({
      version: 1,
      routes: [
        route('claims', 'non_idempotent', '9000ms'),
        route('ledger', 'idempotent', '4000ms'),
      ],
      services: ['claims', 'ledger', 'shop'],
    }),
  );
  for (const host of fleet.hosts) fleet.register(host);
  await fleet.startAll();

  for (let count = 0; count < USUAL_CALLS; count++) {
    await send(claimsHost, '/ledger/usual', 4_500);
  }
  record.line(
    `the target of claims has made ${USUAL_CALLS} calls of ${USUAL_WORK_MS} ms`,
  );
  const claims = [];
  for (let count = 0; count < CLAIMS; count++) {
    claims.push(send(shopHost, '/claims/a', CLAIM_DEADLINE_MS));
  }
  await fleets.sleep(200);
  signalledMs = Date.now();
  if (WITH_TROUBLE) {
    claimsHost.process.kill('SIGTERM');
    record.line('the daemon beside the target of claims gets SIGTERM');
  }
  const ends = await Promise.all(claims);
  record.line(`clients get for their claims: ${ends.map(end => end.status)}`);
  const lost = [...calls.values()].filter(
    call =>
      call.sentMs > EXCUSED_MS &&
      call.isCutOff &&
      (call.end.status === 0 || !call.end.isSigned),
  );
  record.line(
    `calls that were passed on, were sent later than ${EXCUSED_MS} ms after ` +
      `the signal and were broken off while their target was at work: ` +
      `${lost.length} of ${calls.size}`,
  );
  return calls.size === 0 ? 2 : lost.length > 0 ? 1 : 0;
}

let exitCode = 2;
try {
  await fleet.open();
  exitCode = await play();
} catch (error) {
  record.line(`could not run: ${error.message}`);
} finally {
  await fleet.close();
}
process.exit(exitCode);
