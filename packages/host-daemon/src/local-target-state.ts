import type * as protocol from '@camphorwharf/protocol';
import * as routing from '@camphorwharf/routing';

/** Number of slots assumed until the platform or the server reports it. */
const INITIAL_SLOTS = 16;

/**
 * Fraction of the drain time in which a draining backend server still gets
 * calls from senders that do not know of the drain yet. The drain time starts
 * when the server notifies the platform; this process may learn of it from a
 * peer, up to a second later.
 */
const ACCEPTING_DRAIN_RATIO = 0.4;

/**
 * The same for the time within which the evacuation of a zone must be in force.
 * It starts when the store acknowledges the evacuation.
 */
const ACCEPTING_EVACUATION_RATIO = 0.4;

/** Used until the settings are known. */
const DEFAULT_EVACUATION_MS = 5_000;

/**
 * Maximum number of instances whose denials are kept. Instances at one address
 * replace each other, and calls name only the latest few of them.
 */
const MAXIMUM_DENIED = 64;

/**
 * Time for which calls to a denied instance are refused. Afterwards the next
 * call asks again, so that a server that was denied by mistake is used again,
 * and a replaced one gets a call in vain once in this time.
 */
const DENIAL_MS = 2_000;

/** Responses that denied to come from an instance. */
interface Denial {
  /** An instance may restart under the same name. */
  readonly startedAtMs: number | null;
  /** Null after a single response, which may be a stray one. */
  readonly endsMs: number | null;
}

/** What the daemon knows about the backend server of its own host. */
export class LocalTargetState {
  private currentInstance: string | null = null;
  /** Start time of the current instance. */
  private currentStartMs: number | null = null;
  private startCount = 0;
  private removedSinceMs: number | null = null;
  private drainingSinceMs: number | null = null;
  private slotCount = INITIAL_SLOTS;
  /** By instance. */
  private readonly denials = new Map<string, Denial>();
  private directory: routing.BackendServerDirectory | null = null;
  private evacuatedSinceMs: number | null = null;
  private evacuationEndMs: number | null = null;
  /** Called when the zone returns to service after an evacuation. */
  onEvacuationEnded: (nowMs: number) => void = () => undefined;
  private readonly reportedSpeed = new routing.ServerSpeed();
  private hasReportedSpeed = false;

  constructor(
    readonly service: string,
    private readonly address: string,
    private readonly port: number,
    private drainMs: number,
    private evacuationMs = DEFAULT_EVACUATION_MS,
  ) {}

  setDrainTime(drainMs: number): void {
    this.drainMs = drainMs;
  }

  /** Sets the time within which an evacuation must be in force. */
  setEvacuationTime(evacuationMs: number): void {
    this.evacuationMs = evacuationMs;
  }

  /** The platform's entry for this host; null if there is none. */
  get listed(): routing.BackendServer | null {
    const {address, directory, port, service} = this;
    return directory?.findByAddress(address, port, service) ?? null;
  }

  /** Changes with each start of the backend server that the platform lists. */
  get starts(): number {
    return this.startCount;
  }

  get slots(): number {
    return this.slotCount;
  }

  /** Applies the platform's entry for this host. */
  update(directory: routing.BackendServerDirectory, nowMs: number): void {
    this.directory = directory;
    const server = this.listed;
    if (server) {
      const {instance, startedAtMs} = server;
      if (
        instance !== this.currentInstance ||
        startedAtMs !== this.currentStartMs
      ) {
        this.startCount++;
      }
      this.currentInstance = instance;
      this.currentStartMs = startedAtMs;
      this.slotCount = server.slots;
      this.removedSinceMs = null;
      this.drainingSinceMs = directory.drainingSinceMs(server.instance);
    } else if (this.currentInstance !== null) {
      // Removal of a draining server does not restart its drain time.
      this.removedSinceMs ??= this.drainingSinceMs ?? nowMs;
    }
  }

  /**
   * Applies the evacuation of the zone of this host: when it began, or null if
   * the zone is in service.
   */
  updateEvacuation(sinceMs: number | null, nowMs: number): void {
    const hasEnded = this.evacuatedSinceMs !== null && sinceMs === null;
    this.evacuatedSinceMs = sinceMs;
    if (!hasEnded) return;
    this.evacuationEndMs = nowMs;
    this.onEvacuationEnded(nowMs);
  }

  /** When the last evacuation of the zone ended; null if there was none. */
  get evacuationEndedMs(): number | null {
    return this.evacuationEndMs;
  }

  /**
   * Records that the backend server has reported not to be this instance. Calls
   * are refused from the second report without `recordAnswered` in between.
   */
  recordMisdirected(instance: string, nowMs: number): void {
    const startedAtMs = this.startTimeOf(instance);
    const earlier = this.denials.get(instance);
    const isRepeated = earlier?.startedAtMs === startedAtMs;
    if (!earlier && this.denials.size >= MAXIMUM_DENIED) this.denials.clear();
    const endsMs = isRepeated ? nowMs + DENIAL_MS : null;
    this.denials.set(instance, {startedAtMs, endsMs});
  }

  /** Records that the backend server has run a call to this instance. */
  recordAnswered(instance: string): void {
    this.denials.delete(instance);
  }

  /**
   * Whether the backend server may be this instance. Calls to any other
   * instance are refused without sending them to the backend server.
   */
  mayServe(instance: string, nowMs: number): boolean {
    const denial = this.denials.get(instance);
    return (
      denial === undefined ||
      denial.endsMs === null ||
      nowMs >= denial.endsMs ||
      denial.startedAtMs !== this.startTimeOf(instance)
    );
  }

  /** Applies the slots and the speed reported by the backend server itself. */
  applyReportedLoad(load: protocol.ReportedLoad | null, nowMs: number): void {
    if (load?.speed !== undefined) {
      this.hasReportedSpeed = true;
      this.reportedSpeed.noteReported(load.speed / 100, nowMs);
    }
    if (load && load.slots > 0 && this.currentInstance === null) {
      this.slotCount = load.slots;
    }
  }

  /** Whether the backend server states how fast it works. */
  get reportsSpeed(): boolean {
    return this.hasReportedSpeed;
  }

  /** Speed that the backend server reports; 1 is the usual one. */
  speed(nowMs: number): number {
    return this.reportedSpeed.current(nowMs);
  }

  /** The same over a long time. */
  usualSpeed(nowMs: number): number {
    return this.reportedSpeed.longTerm(nowMs);
  }

  /**
   * Whether the backend server is draining or no longer listed, or its zone is
   * evacuated.
   */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== null || this.evacuatedSinceMs !== null;
  }

  /** Whether calls may still be sent to the backend server. */
  acceptsWork(nowMs: number): boolean {
    const drainLimitMs = this.drainMs * ACCEPTING_DRAIN_RATIO;
    const evacuationLimitMs = this.evacuationMs * ACCEPTING_EVACUATION_RATIO;
    return (
      nowMs - (this.leavingSinceMs ?? Infinity) < drainLimitMs &&
      nowMs - (this.evacuatedSinceMs ?? Infinity) < evacuationLimitMs
    );
  }

  private startTimeOf(instance: string): number | null {
    return this.directory?.get(instance)?.startedAtMs ?? null;
  }

  private get leavingSinceMs(): number | null {
    return this.drainingSinceMs ?? this.removedSinceMs;
  }
}
