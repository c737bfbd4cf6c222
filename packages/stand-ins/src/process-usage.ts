import * as fs from 'node:fs';

const SAMPLE_INTERVAL_MS = 50;

/** What a process has used at most. */
export interface PeakUsage {
  readonly residentMb: number;
  readonly descriptors: number;
}

/** Records the peak usage of a process, as the kernel reports it. */
export class ProcessUsage {
  private residentMb = 0;
  private descriptors = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly pid: number) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Returns the peaks until now and ends the recording. */
  stop(): PeakUsage {
    clearInterval(this.timer);
    this.sample();
    const {residentMb, descriptors} = this;
    return {residentMb, descriptors};
  }

  private sample(): void {
    try {
      const status = fs.readFileSync(`/proc/${this.pid}/status`, 'latin1');
      const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
      // A process that has ended has no memory but still has a status.
      if (kilobytes === undefined) return;
      this.residentMb = Math.round(Number(kilobytes) / 1_024);
      const open = fs.readdirSync(`/proc/${this.pid}/fd`).length;
      this.descriptors = Math.max(this.descriptors, open);
    } catch {
      // The process has ended; the last sample counts.
    }
  }
}
