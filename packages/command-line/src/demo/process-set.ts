import * as runtime from '@camphorwharf/runtime';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';

/**
 * Time limit for a process to print its first line, which reports that it
 * listens.
 */
const START_TIMEOUT_MS = 20_000;

/** A child process of the demo. */
export interface DemoProcess {
  readonly name: string;
  readonly child: childProcess.ChildProcess;
  /** First line of its standard output, parsed as JSON. */
  readonly firstLine: Readonly<Record<string, unknown>>;
}

/** Starts child processes and stops only the processes it has started. */
export class ProcessSet {
  private readonly children = new Set<childProcess.ChildProcess>();

  constructor(
    private readonly clock: runtime.Clock,
    private readonly logDirectory: string,
  ) {}

  /** Starts `node program args...` and waits for the first output line. */
  async start(
    name: string,
    program: string,
    args: readonly string[],
  ): Promise<DemoProcess> {
    const logFile = fs.openSync(`${this.logDirectory}/${name}.log`, 'a');
    const child = childProcess.spawn(process.execPath, [program, ...args], {
      stdio: ['ignore', 'pipe', logFile],
    });
    fs.closeSync(logFile);
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    const firstLine = await this.readFirstLine(name, child);
    return {name, child, firstLine};
  }

  /** Sends a signal, waits for the process to exit, returns the exit code. */
  async stop(
    demoProcess: DemoProcess,
    signal: NodeJS.Signals,
  ): Promise<number> {
    const {child} = demoProcess;
    if (child.exitCode !== null) return child.exitCode;
    const exited = new Promise<number>(resolve => {
      child.once('exit', code => resolve(code ?? -1));
    });
    child.kill(signal);
    return exited;
  }

  /** Kills every process that is still running. */
  async stopAll(): Promise<void> {
    const exited = [...this.children].map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const child of this.children) child.kill('SIGKILL');
    await Promise.all(exited);
  }

  private async readFirstLine(
    name: string,
    child: childProcess.ChildProcess,
  ): Promise<Readonly<Record<string, unknown>>> {
    const lines = readline.createInterface({input: child.stdout!});
    const firstLine = new Promise<string>((resolve, reject) => {
      lines.once('line', resolve);
      child.once('exit', code =>
        reject(
          new runtime.BaseError(
            `${name} exited with code ${code} before it was ready; ` +
              `see ${this.logDirectory}/${name}.log`,
          ),
        ),
      );
    });
    const abortController = new AbortController();
    const timeout = this.clock
      .delay(START_TIMEOUT_MS, abortController.signal)
      .then(() => {
        if (abortController.signal.aborted) return '';
        throw new runtime.TimeoutError(
          `${name} did not become ready in time; see ${this.logDirectory}/${name}.log`,
        );
      });
    try {
      const text = await Promise.race([firstLine, timeout]);
      return JSON.parse(text) as Record<string, unknown>;
    } finally {
      abortController.abort();
    }
  }
}
