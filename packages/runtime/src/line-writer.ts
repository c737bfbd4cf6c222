import * as fs from 'node:fs';

/** Lines are buffered for this long, so that one system call writes many. */
const FLUSH_INTERVAL_MS = 100;

/** Time after which a write at the end of the process counts as blocked. */
const FLUSH_LIMIT_MS = 400;

/** Lines beyond this are dropped, so that a slow reader cannot grow memory. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/**
 * Writes lines to a file descriptor without blocking the event loop. If the
 * reader is too slow, lines are dropped and a `log-lines-dropped` line reports
 * how many.
 */
export class LineWriter {
  private lines: string[] = [];
  private bufferedBytes = 0;
  private droppedLines = 0;
  private writeInProgress = false;
  private flushTimer: NodeJS.Timeout | null = null;
  /** Called when all lines are written. */
  private onWritten: (() => void) | null = null;

  constructor(private readonly fileDescriptor: number) {}

  write(line: string): void {
    if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.droppedLines++;
      return;
    }
    this.lines.push(line);
    this.bufferedBytes += line.length;
    this.flushTimer ??= setTimeout(
      () => this.writeBuffered(),
      FLUSH_INTERVAL_MS,
    ).unref();
  }

  /**
   * Writes the buffered lines before the process exits. Resolves with whether
   * they are written, or will be. Otherwise a thread waits for their reader, for
   * which `process.exit` waits in turn.
   */
  flush(): Promise<boolean> {
    return new Promise(resolve => {
      // The end of the write may not have been read yet when the timer fires in
      // a process without processor time.
      const onLimit = () => setImmediate(() => resolve(this.isFile()));
      const timer = setTimeout(onLimit, FLUSH_LIMIT_MS);
      this.onWritten = () => {
        clearTimeout(timer);
        resolve(true);
      };
      this.writeBuffered();
    });
  }

  /** A write to a file does not wait for a reader. */
  private isFile(): boolean {
    try {
      return fs.fstatSync(this.fileDescriptor).isFile();
    } catch {
      return false;
    }
  }

  private writeBuffered(): void {
    this.flushTimer = null;
    if (this.writeInProgress) return;
    if (this.lines.length === 0) {
      this.onWritten?.();
      return;
    }
    this.writeInProgress = true;
    // An error of the log cannot be reported.
    fs.write(this.fileDescriptor, this.takeBuffered(), () => {
      this.writeInProgress = false;
      this.writeBuffered();
    });
  }

  private takeBuffered(): string {
    if (this.droppedLines > 0) {
      this.lines.push(
        `${JSON.stringify({event: 'log-lines-dropped', count: this.droppedLines})}\n`,
      );
      this.droppedLines = 0;
    }
    const text = this.lines.join('');
    this.lines = [];
    this.bufferedBytes = 0;
    return text;
  }
}
