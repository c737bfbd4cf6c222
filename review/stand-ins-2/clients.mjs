// A client that speaks HTTP/1.1 on one connection and keeps it open.
import net from 'node:net';
import {names, requestId} from './fleet.mjs';

export function requestHead(method, url, host, fields = {}) {
  const lines = Object.entries(fields).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`${method} ${url} HTTP/1.1`, `Host: ${host}`, ...lines, '', ''].join(
    '\r\n',
  );
}

/** A connection that a client keeps for several requests, one after the other. */
export class KeptConnection {
  constructor(port, address) {
    this.text = '';
    this.isClosed = false;
    this.wake = () => undefined;
    this.socket = net.connect(port, address);
    this.socket.on('data', chunk => {
      this.text += chunk.toString('latin1');
      this.wake();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.wake();
    });
  }

  /**
   * Sends a request without a body and resolves with its answer, or with
   * `status: 0` if the connection ends without a whole one.
   */
  async request(method, url, host, options) {
    const {deadlineMs, fields = {}, id = requestId()} = options;
    this.text = '';
    this.socket.write(
      requestHead(method, url, host, {
        [names.requestId]: id,
        [names.deadline]: deadlineMs,
        ...fields,
        ...(method === 'GET' ? {} : {'Content-Length': 0}),
      }),
    );
    for (;;) {
      const answer = this.parse();
      if (answer) return {id, ...answer};
      if (this.isClosed) return {id, status: 0, body: ''};
      await new Promise(resolve => (this.wake = resolve));
    }
  }

  parse() {
    const headEnd = this.text.indexOf('\r\n\r\n');
    if (headEnd < 0) return null;
    const head = this.text.slice(0, headEnd);
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    const body = this.text.slice(headEnd + 4);
    if (body.length < length) return null;
    return {
      status: Number(head.slice(9, 12)),
      head,
      body: body.slice(0, length),
    };
  }

  close() {
    this.socket.destroy();
  }
}
