import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';

/** Slots that are assumed until the platform or the server tells them. */
const INITIAL_SLOTS = 16;

/**
 * Part of the drain time for which a leaving backend server still gets the
 * calls of senders that do not know yet. The drain time counts from the
 * server's word to the platform; this process may learn of it by a peer, up to
 * a second later.
 */
const ACCEPTING_DRAIN_RATIO = 0.4;

/** Instances of one address follow each other; few are still asked for. */
const MAXIMUM_DENIED = 64;

/** What the daemon knows of the backend server of its own host. */
export class LocalTargetState {
  private currentInstance: string | null = null;
  private removedSinceMs: number | null = null;
  private drainingSinceMs: number | null = null;
  private slotCount = INITIAL_SLOTS;
  /**
   * Instances that the backend server has denied to be, and when they had
   * started; one may start again under its name.
   */
  private readonly denied = new Map<string, number | null>();
  private directory: routing.BackendServerDirectory | null = null;

  constructor(
    private readonly service: string,
    private readonly address: string,
    private readonly port: number,
    private drainMs: number,
  ) {}

  setDrainTime(drainMs: number): void {
    this.drainMs = drainMs;
  }

  get slots(): number {
    return this.slotCount;
  }

  /** Takes over what the platform lists for this host. */
  update(directory: routing.BackendServerDirectory, nowMs: number): void {
    this.directory = directory;
    const server = directory.at(this.address, this.port, this.service);
    if (server) {
      this.currentInstance = server.instance;
      this.slotCount = server.slots;
      this.removedSinceMs = null;
      this.drainingSinceMs = directory.drainingSince(server.instance);
    } else if (this.currentInstance !== null) {
      // Its drain time goes on when a draining server is removed.
      this.removedSinceMs ??= this.drainingSinceMs ?? nowMs;
    }
  }

  /** The backend server has said that it is another instance. */
  recordMisdirected(instance: string): void {
    if (this.denied.size >= MAXIMUM_DENIED) this.denied.clear();
    this.denied.set(instance, this.startTimeOf(instance));
  }

  /**
   * Whether the backend server may be this instance. A call for another one
   * is refused here, before it costs an exchange.
   */
  mayServe(instance: string): boolean {
    const deniedStartMs = this.denied.get(instance);
    return (
      deniedStartMs === undefined ||
      deniedStartMs !== this.startTimeOf(instance)
    );
  }

  /** Takes over the slots that the backend server itself names. */
  applyReportedLoad(load: protocol.ReportedLoad | null): void {
    if (load && load.slots > 0 && this.currentInstance === null) {
      this.slotCount = load.slots;
    }
  }

  /** Whether the backend server is draining or no longer listed. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== null;
  }

  /** Whether calls may still be given to the backend server. */
  acceptsWork(nowMs: number): boolean {
    const sinceMs = this.leavingSinceMs;
    return (
      sinceMs === null || nowMs - sinceMs < this.drainMs * ACCEPTING_DRAIN_RATIO
    );
  }

  private startTimeOf(instance: string): number | null {
    return this.directory?.get(instance)?.startedAtMs ?? null;
  }

  private get leavingSinceMs(): number | null {
    return this.drainingSinceMs ?? this.removedSinceMs;
  }
}
