import * as fs from 'node:fs';

/** Lines wait for this long, so that many leave in one system call. */
const FLUSH_INTERVAL_MS = 100;

/** Lines beyond this are dropped, so that a slow reader costs no memory. */
const MAXIMUM_WAITING_BYTES = 256 * 1024;

/**
 * Writes lines to a file descriptor without ever blocking the event loop.
 * While the reader is too slow, lines are dropped and their number is stated.
 */
export class LineWriter {
  private lines: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private writing = false;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly descriptor: number) {}

  write(line: string): void {
    if (this.waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
      this.dropped++;
      return;
    }
    this.lines.push(line);
    this.waitingBytes += line.length;
    this.timer ??= setTimeout(() => this.send(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes what waits, before the process ends; this may block. */
  flush(): void {
    try {
      fs.writeSync(this.descriptor, this.take());
    } catch {
      // Nothing can be reported when the log itself cannot be written.
    }
  }

  private send(): void {
    this.timer = null;
    if (this.writing || this.lines.length === 0) return;
    this.writing = true;
    fs.write(this.descriptor, this.take(), () => {
      this.writing = false;
      if (this.lines.length > 0) this.send();
    });
  }

  private take(): string {
    if (this.dropped > 0) {
      this.lines.push(
        `${JSON.stringify({event: 'log-lines-dropped', count: this.dropped})}\n`,
      );
      this.dropped = 0;
    }
    const text = this.lines.join('');
    this.lines = [];
    this.waitingBytes = 0;
    return text;
  }
}
