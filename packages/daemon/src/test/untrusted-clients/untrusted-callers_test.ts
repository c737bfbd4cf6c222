import * as standIns from '@camphorwharf/stand-ins';
import test from 'ava';
import * as clientRows from './client-rows.js';
import * as daemonProcess from './daemon-process.js';

const LOAD_MS = 2_000;

/**
 * Guards against callers outside the operator's control that end `camphorwharfd`
 * by memory exhaustion or take all of its descriptors. The checks do not depend
 * on the speed of the machine.
 */
for (const row of clientRows.CLIENT_ROWS) {
  const limits = row.limits ?? clientRows.DEFAULT_ROW_LIMITS;
  test.serial(`camphorwharfd: ${row.name}`, async t => {
    const daemon = new daemonProcess.DaemonProcess();
    t.teardown(() => daemon.close());
    await daemon.start({
      nodeFlags: [
        '--single-threaded',
        `--max-old-space-size=${limits.heapMb}`,
        '--max-semi-space-size=2',
      ],
      limits: [`caller_connections = ${limits.callerConnections}`],
    });
    const usage = new standIns.ProcessUsage(daemon.pid);
    const {host, callerPort, operatorPort} = daemon;
    const port = row.port === 'callers' ? callerPort : operatorPort;
    const clients = new standIns.UntrustedClients({host, port}, row.behaviour);
    clients.open(row.connections);
    await daemonProcess.delay(LOAD_MS);
    clients.close();
    const answered = await daemon.isAnswered();
    const {residentMb, descriptors} = usage.stop();
    t.log(
      `ended ${daemon.hasEnded}, MB ${residentMb}, descriptors ${descriptors}, ` +
        `answered ${answered}, connections ${clients.openedCount}`,
    );
    t.false(daemon.hasEnded);
    t.true(answered);
    t.true(residentMb <= limits.memoryMb);
    t.true(descriptors <= limits.maximumDescriptors);
  });
}
