import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as cellTask from './cell-task.js';
import type * as configurationTask from './configuration-task.js';
import type * as hostDirectory from './host-directory.js';

export interface ControlRequestHandlerOptions {
  readonly incarnation: string;
  readonly cell: Pick<cellTask.CellTask, 'answerPing' | 'answerOwnerRequest'>;
  readonly configuration: Pick<
    configurationTask.ConfigurationTask,
    'answerDigest' | 'answerPush'
  >;
  readonly directory: Pick<
    hostDirectory.HostDirectory,
    'noteLeaving' | 'noteReachable' | 'withdrawLeaving'
  >;
  readonly startedCalls: ownership.StartedCalls;
  readonly status: () => Readonly<Record<string, unknown>>;
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
}

/** Dispatches control requests of peers to the components that answer them. */
export class ControlRequestHandler {
  constructor(private readonly options: ControlRequestHandlerOptions) {}

  async handle(
    body: protocol.ControlRequest,
    link: transport.PeerLink,
  ): Promise<protocol.ControlReply> {
    const {cell, configuration, directory, clock, metrics} = this.options;
    const nowMs = clock.monotonicMs();
    const {hostId, incarnation} = link.remote;
    metrics.count('control_requests_total', 'Control requests by kind', {
      kind: body.kind,
    });
    directory.noteReachable(hostId, incarnation);
    switch (body.kind) {
      case 'viewPing':
        return cell.answerPing(body, link, nowMs);
      case 'grant':
      case 'grantReturn':
      case 'keyClaim':
      case 'keySettle':
      case 'bucketHandOver':
      case 'keyHandOver':
        return cell.answerOwnerRequest(body, nowMs);
      case 'cancelIfNotStarted':
        return this.handleCancel(body, nowMs);
      case 'configurationDigest':
        return configuration.answerDigest(body, link);
      case 'configurationPush':
        return configuration.answerPush(body);
      case 'leaving':
        return this.handleLeaving(body, link.remote, nowMs);
      case 'status':
        return {kind: 'statusAnswer', status: this.options.status()};
      default:
        return unsupportedReply(body);
    }
  }

  private handleCancel(
    body: protocol.CancelIfNotStarted,
    nowMs: number,
  ): protocol.CancelAnswer {
    const {incarnation, startedCalls} = this.options;
    return ownership.answerCancelQuery(body, startedCalls, incarnation, nowMs);
  }

  /** Accepts a departure notice only from the host that leaves. */
  private handleLeaving(
    body: protocol.Leaving,
    remote: protocol.Hello,
    nowMs: number,
  ): protocol.Acknowledged | protocol.Unsupported {
    if (body.hostId !== remote.hostId) return {kind: 'unsupported'};
    if (body.withdrawn) {
      this.options.directory.withdrawLeaving(remote.hostId);
      return {kind: 'acknowledged'};
    }
    this.options.directory.noteLeaving(
      remote.hostId,
      remote.incarnation,
      'notice',
      nowMs,
    );
    return {kind: 'acknowledged'};
  }
}

/** Newer peers may send request kinds that this version does not know. */
function unsupportedReply(_body: never): protocol.Unsupported {
  return {kind: 'unsupported'};
}
