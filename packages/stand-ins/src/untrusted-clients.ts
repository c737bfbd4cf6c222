import * as net from 'node:net';

/** Where the clients connect to. */
export interface ClientEndpoint {
  readonly host: string;
  readonly port: number;
}

/**
 * Uses one connection. The returned function, if any, ends what the behaviour
 * has started; it is called once the connection has closed.
 */
export type ClientBehaviour = (socket: net.Socket) => (() => void) | void;

/** Time after which a closed connection is replaced. */
const RECONNECT_MS = 20;

/** Pause of a client that writes slowly. */
const WRITE_INTERVAL_MS = 20;

const SLOW_READ_BYTES = 512;
const SLOW_READ_INTERVAL_MS = 200;

/** Sends `text` again and again, as fast as it is read, and reads nothing. */
export function sendWithoutEnd(text: string, first = ''): ClientBehaviour {
  return socket => {
    const block = Buffer.from(text, 'latin1');
    const send = () => {
      if (!socket.writable) return;
      if (socket.write(block)) setImmediate(send);
    };
    socket.on('drain', send);
    socket.write(first, 'latin1');
    send();
  };
}

/** Sends `text` again and again, with a pause after each, and reads nothing. */
export function sendWithPauses(text: string, first = ''): ClientBehaviour {
  return socket => {
    socket.write(first, 'latin1');
    const timer = setInterval(
      () => socket.write(text, 'latin1'),
      WRITE_INTERVAL_MS,
    );
    return () => clearInterval(timer);
  };
}

/** Sends `text` once and reads nothing. */
export function sendOnce(text: string): ClientBehaviour {
  return socket => void socket.write(text, 'latin1');
}

/** Sends `text` once and reads 512 bytes every 200 ms. */
export function readSlowly(text: string): ClientBehaviour {
  return socket => {
    socket.write(text, 'latin1');
    const timer = setInterval(
      () => socket.read(SLOW_READ_BYTES),
      SLOW_READ_INTERVAL_MS,
    );
    return () => clearInterval(timer);
  };
}

/** Sends `text` and closes the connection at once. */
export function sendAndClose(text: string): ClientBehaviour {
  return socket => {
    socket.write(text, 'latin1', () => socket.destroy());
  };
}

/** Keeps a number of connections open that all behave in the same way. */
export class UntrustedClients {
  private readonly sockets = new Set<net.Socket>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private isClosed = false;
  private opened = 0;

  constructor(
    private readonly endpoint: ClientEndpoint,
    private readonly behaviour: ClientBehaviour,
  ) {}

  /** Number of connections opened so far. */
  get openedCount(): number {
    return this.opened;
  }

  open(count: number): void {
    for (let index = 0; index < count; index++) this.connect();
  }

  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) clearTimeout(timer);
    for (const socket of this.sockets) socket.destroy();
  }

  private connect(): void {
    let stop: (() => void) | void;
    // Reading begins only if the behaviour reads.
    const socket = net.connect({...this.endpoint, noDelay: true});
    this.sockets.add(socket);
    socket.on('connect', () => {
      this.opened++;
      stop = this.behaviour(socket);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      stop?.();
      if (this.isClosed) return;
      const timer = setTimeout(() => {
        this.timers.delete(timer);
        this.connect();
      }, RECONNECT_MS);
      this.timers.add(timer);
    });
  }
}
