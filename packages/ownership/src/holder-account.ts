/** Tokens that a holder was given and that are not known to be spent. */
export interface Grant {
  tokens: number;
  readonly endMs: number;
}

/**
 * What one holder may still have of the tokens that it was granted.
 *
 * A spent report reduces the outstanding tokens. Tokens of a grant that was
 * written off first are no longer outstanding, and a late report may still
 * include them, so reports are set against them before live grants. They are
 * kept until no report can include them.
 */
export class HolderAccount {
  private live: Grant[] = [];
  private writtenOff: Grant[] = [];
  private sequence = -1;
  private sequenceAtMs = -Infinity;
  /** The holder sent its latest request no earlier than this. */
  private sentAfterMs = -Infinity;

  get lastRequestMs(): number {
    return this.sequenceAtMs;
  }

  get hasLive(): boolean {
    return this.live.some(grant => grant.tokens > 0);
  }

  /** Takes a sequence number; returns false for a repeated or old one. */
  accept(sequence: number, nowMs: number): boolean {
    if (sequence <= this.sequence) return false;
    // The report with this request covers spending since the previous one
    // was sent, which was after `sentAfterMs`.
    this.writtenOff = this.writtenOff.filter(
      grant => grant.endMs > this.sentAfterMs,
    );
    // A holder skips a number after a lost request, so the direct successor
    // was sent after the answer to the previous request arrived.
    if (sequence === this.sequence + 1) this.sentAfterMs = this.sequenceAtMs;
    this.sequence = sequence;
    this.sequenceAtMs = nowMs;
    return true;
  }

  add(grant: Grant): void {
    this.live.push(grant);
  }

  /** Moves ended grants to those written off. */
  writeOff(nowMs: number): void {
    const ended = this.live.filter(grant => grant.endMs <= nowMs);
    this.writtenOff.push(...ended.filter(grant => grant.tokens > 0));
    this.live = this.live.filter(grant => grant.endMs > nowMs);
  }

  /** Sets `tokens` against grants; returns how many were outstanding. */
  remove(tokens: number): number {
    let left = Math.max(0, tokens);
    for (const grant of this.writtenOff) left -= takeFrom(grant, left);
    const reported = left;
    for (const grant of this.live) left -= takeFrom(grant, left);
    return reported - left;
  }
}

function takeFrom(grant: Grant, wanted: number): number {
  const taken = Math.min(grant.tokens, wanted);
  grant.tokens -= taken;
  return taken;
}
