import * as runtime from '@camphorwharf/runtime';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';

/** Time limit for a process to say that it listens. */
const START_LIMIT_MS = 20_000;

/** A process that the demo has started. */
export interface DemoProcess {
  readonly name: string;
  readonly child: childProcess.ChildProcess;
  /** First line of standard output, JSON. */
  readonly firstLine: Readonly<Record<string, unknown>>;
}

/** Starts processes, and ends exactly the ones it has started, by id. */
export class ProcessSet {
  private readonly children = new Set<childProcess.ChildProcess>();

  constructor(
    private readonly clock: runtime.Clock,
    private readonly logFolder: string,
  ) {}

  /** Starts `node program words...` and waits for its first line. */
  async start(
    name: string,
    program: string,
    words: readonly string[],
  ): Promise<DemoProcess> {
    const log = fs.openSync(`${this.logFolder}/${name}.log`, 'a');
    const child = childProcess.spawn(process.execPath, [program, ...words], {
      stdio: ['ignore', 'pipe', log],
    });
    fs.closeSync(log);
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    const line = await this.firstLine(name, child);
    return {name, child, firstLine: line};
  }

  /** Sends a signal and waits for the process to end. */
  async stop(process: DemoProcess, signal: NodeJS.Signals): Promise<number> {
    const {child} = process;
    if (child.exitCode !== null) return child.exitCode;
    const ended = new Promise<number>(resolve => {
      child.once('exit', code => resolve(code ?? -1));
    });
    child.kill(signal);
    return ended;
  }

  /** Ends every process that is still running. */
  async stopAll(): Promise<void> {
    const ended = [...this.children].map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const child of this.children) child.kill('SIGKILL');
    await Promise.all(ended);
  }

  private async firstLine(
    name: string,
    child: childProcess.ChildProcess,
  ): Promise<Readonly<Record<string, unknown>>> {
    const lines = readline.createInterface({input: child.stdout!});
    const first = new Promise<string>((resolve, reject) => {
      lines.once('line', resolve);
      child.once('exit', code =>
        reject(
          new runtime.BaseError(
            `${name} ended with code ${code} before it was ready; ` +
              `read ${this.logFolder}/${name}.log`,
          ),
        ),
      );
    });
    const timer = new AbortController();
    const limit = this.clock.delay(START_LIMIT_MS, timer.signal).then(() => {
      if (timer.signal.aborted) return '';
      throw new runtime.TimeoutError(
        `${name} was not ready in time; read ${this.logFolder}/${name}.log`,
      );
    });
    try {
      const text = await Promise.race([first, limit]);
      return JSON.parse(text) as Record<string, unknown>;
    } finally {
      timer.abort();
    }
  }
}
