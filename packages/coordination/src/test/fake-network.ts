import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';

export interface FakeNode {
  readonly hello: protocol.Hello;
  readonly handle: (
    body: protocol.ControlRequest,
    link: transport.PeerLink,
  ) => Promise<protocol.ControlReply>;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** In-memory peer connections with latency, partitions and process failures. */
export class FakeNetwork {
  latencyMs = 1;
  /** Called for each control request, for counting and fault injection. */
  onRequest: (from: string, to: string, body: protocol.ControlRequest) => void =
    () => undefined;
  readonly requestCounts = new Map<string, number>();
  /** Bytes of control frames sent by host; counted while not null. */
  sentBytes: Map<string, number> | null = null;
  private readonly nodes = new Map<string, FakeNode>();
  private readonly partitionGroups = new Map<string, number>();
  /** Connections that carried view pings, as `opener>other`. */
  private readonly pingConnections = new Set<string>();

  constructor(readonly clock: runtime.Clock) {}

  /** Starts a process at an address, replacing any earlier process. */
  attach(address: string, node: FakeNode): void {
    this.nodes.set(address, node);
  }

  detach(address: string): void {
    this.nodes.delete(address);
  }

  /** Blocks traffic between groups of hosts; without groups, unblocks all. */
  partition(...groups: ReadonlyArray<readonly string[]>): void {
    this.partitionGroups.clear();
    for (const [index, group] of groups.entries()) {
      for (const address of group) this.partitionGroups.set(address, index);
    }
  }

  node(address: string): FakeNode | undefined {
    return this.nodes.get(address);
  }

  isBlocked(from: string, to: string): boolean {
    return (
      (this.partitionGroups.get(from) ?? 0) !==
      (this.partitionGroups.get(to) ?? 0)
    );
  }

  countRequest(from: string, to: string, body: protocol.ControlRequest): void {
    this.requestCounts.set(
      body.kind,
      (this.requestCounts.get(body.kind) ?? 0) + 1,
    );
    this.onRequest(from, to, body);
  }

  /** Pairs of hosts whose view pings used two connections. */
  duplicatePingConnections(): string[] {
    return [...this.pingConnections].filter(pair => {
      const [from, to] = pair.split('>');
      return from < to && this.pingConnections.has(`${to}>${from}`);
    });
  }

  /** Records a view ping on a connection that `opener` opened. */
  recordPingConnection(opener: string, other: string): void {
    this.pingConnections.add(`${opener}>${other}`);
  }

  countSentBytes(from: string, frame: protocol.Frame): void {
    if (!this.sentBytes) return;
    const bytes = protocol.encodeFrame(frame).length;
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
  }

  /** Creates the peer connector of the process at `address`. */
  connectorOf(address: string): transport.PeerConnector {
    const links = new Map<string, FakeLink>();
    const open = async (to: string): Promise<transport.PeerLink> => {
      const known = links.get(to);
      if (known && !known.closed) return known;
      const from = this.nodes.get(address);
      if (!from) throw new runtime.ConnectionError('The process is stopped.');
      if (this.isBlocked(address, to)) {
        await this.clock.delay(CONNECT_TIMEOUT_MS);
        throw new runtime.ConnectionError('Connecting to the peer timed out.');
      }
      await this.clock.delay(this.latencyMs);
      const node = this.nodes.get(to);
      if (!node) throw new runtime.ConnectionError('Nothing listens there.');
      const link = new FakeLink(this, address, to, from, node);
      links.set(to, link);
      return link;
    };
    return {connect: open, connectUnshared: open};
  }
}

/** One end of a connection between two processes. */
class FakeLink implements transport.PeerLink {
  private ended = false;
  private requestNumber = 0;

  constructor(
    private readonly network: FakeNetwork,
    private readonly from: string,
    private readonly to: string,
    private readonly fromNode: FakeNode,
    private readonly toNode: FakeNode,
    private readonly opener = from,
  ) {}

  get remote(): protocol.Hello {
    return this.toNode.hello;
  }

  get closed(): boolean {
    return (
      this.ended ||
      this.network.node(this.to) !== this.toNode ||
      this.network.node(this.from) !== this.fromNode
    );
  }

  report(): void {
    throw new Error('The fake link does not support reports.');
  }

  async request(
    body: protocol.ControlRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply> {
    const {network, from, to} = this;
    const deadlineMs = network.clock.monotonicMs() + timeoutMs;
    const request = ++this.requestNumber;
    network.countRequest(from, to, body);
    if (body.kind === 'viewPing') {
      network.recordPingConnection(
        this.opener,
        this.opener === from ? to : from,
      );
    }
    network.countSentBytes(from, {kind: 'request', request, body});
    await this.transmit(deadlineMs);
    const reply = await this.toNode.handle(
      structuredClone(body),
      new FakeLink(network, to, from, this.toNode, this.fromNode, this.opener),
    );
    network.countSentBytes(to, {kind: 'reply', request, body: reply});
    await this.transmit(deadlineMs);
    return structuredClone(reply);
  }

  call(): Promise<transport.PeerResult> {
    throw new runtime.ProtocolError('The fake link does not support calls.');
  }

  close(): void {
    this.ended = true;
  }

  private async transmit(deadlineMs: number): Promise<void> {
    const {clock, latencyMs} = this.network;
    if (!this.network.isBlocked(this.from, this.to)) {
      await clock.delay(latencyMs);
      if (this.closed) throw new runtime.ConnectionError('Connection lost.');
      if (clock.monotonicMs() <= deadlineMs) return;
    }
    await clock.delay(deadlineMs - clock.monotonicMs());
    throw new runtime.TimeoutError('No reply in time.');
  }
}
