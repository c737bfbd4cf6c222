import * as crypto from 'node:crypto';
import * as pureRandom from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers, injected so that a seed reproduces a run. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** Pseudorandom numbers; equal seeds give equal sequences. */
export class SeededRandom implements RandomSource {
  private readonly generator: ReturnType<typeof pureRandom.xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = pureRandom.xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / 0x1_0000_0000;
  }
}

/** Returns an integer in [0, limit). */
export function randomInteger(random: RandomSource, limit: number): number {
  return Math.floor(random.next() * limit);
}

/** Returns `bytes` random bytes as lowercase hexadecimal digits. */
export function randomIdentifier(random: RandomSource, bytes = 12): string {
  let text = '';
  for (let index = 0; index < bytes; index++) {
    text += randomInteger(random, 256).toString(16).padStart(2, '0');
  }
  return text;
}

/**
 * Unpredictable random numbers from the operating system. Handles require them:
 * a caller that guesses a handle could act for another organisation.
 */
export class SystemRandom implements RandomSource {
  next(): number {
    return crypto.randomInt(0x1_0000_0000) / 0x1_0000_0000;
  }
}
