import type * as problems from './problem.js';

/**
 * Maximum number of parts of a dotted key to index. A declaration needs at most
 * four; without a limit, memory would grow quadratically with the parts.
 */
const MAXIMUM_INDEXED_KEY_PARTS = 16;

/**
 * Maps keys, table headers and list elements of a TOML text to line numbers.
 * The TOML parser reports no positions for valid texts, so this class scans the
 * text again. The parser must have accepted the text.
 */
export class TomlLineIndex {
  readonly #lineByPath = new Map<string, number>();
  readonly #tableCounts = new Map<string, number>();
  readonly #text: string;
  #position = 0;
  #line = 1;

  constructor(text: string) {
    this.#text = text;
    this.#readDocument();
  }

  /** Returns the line of the value or of the innermost table or list. */
  lineOf(path: readonly problems.PathSegment[]): number | null {
    for (let length = path.length; length > 0; length--) {
      const line = this.#lineByPath.get(toPathKey(path.slice(0, length)));
      if (line !== undefined) return line;
    }
    return null;
  }

  #readDocument(): void {
    let table: problems.PathSegment[] = [];
    for (;;) {
      this.#skipTrivia();
      const character = this.#text[this.#position];
      if (character === undefined) return;
      if (character === '[') {
        table = this.#readHeader();
      } else {
        this.#readKeyValue(table);
      }
    }
  }

  #readHeader(): problems.PathSegment[] {
    const isArray = this.#text[this.#position + 1] === '[';
    this.#advance(isArray ? 2 : 1);
    const names = this.#readKey();
    this.#advance(isArray ? 2 : 1);
    const path: problems.PathSegment[] = [];
    names.forEach((name, index) => {
      path.push(name);
      this.#recordLine(path);
      const key = toPathKey(path);
      const count = this.#tableCounts.get(key);
      if (isArray && index === names.length - 1) {
        this.#tableCounts.set(key, (count ?? 0) + 1);
        path.push(count ?? 0);
      } else if (count !== undefined) {
        // A header below an array of tables refers to its last element.
        path.push(count - 1);
      }
    });
    this.#recordLine(path);
    return path;
  }

  #readKeyValue(table: readonly problems.PathSegment[]): void {
    const start = this.#position;
    const path = [...table];
    for (const name of this.#readKey()) {
      path.push(name);
      this.#recordLine(path);
    }
    this.#skipTrivia();
    if (this.#text[this.#position] === '=') this.#advance(1);
    this.#readValue(path);
    // Ensures progress on a text that the parser should have rejected.
    if (this.#position === start) this.#advance(1);
  }

  /** Returns the parts of a dotted key, up to MAXIMUM_INDEXED_KEY_PARTS. */
  #readKey(): string[] {
    const names: string[] = [];
    for (;;) {
      this.#skipTrivia();
      const character = this.#text[this.#position];
      if (character === '"' || character === "'") {
        const start = this.#position + 1;
        this.#readString();
        names.push(this.#text.slice(start, this.#position - 1));
      } else {
        const start = this.#position;
        while (/[A-Za-z0-9_-]/.test(this.#text[this.#position] ?? '')) {
          this.#advance(1);
        }
        names.push(this.#text.slice(start, this.#position));
      }
      this.#skipTrivia();
      if (this.#text[this.#position] !== '.') {
        return names.slice(0, MAXIMUM_INDEXED_KEY_PARTS);
      }
      this.#advance(1);
    }
  }

  #readValue(path: readonly problems.PathSegment[]): void {
    this.#skipTrivia();
    const character = this.#text[this.#position];
    if (character === '"' || character === "'") {
      this.#readString();
    } else if (character === '[' || character === '{') {
      this.#readContainer(path, character === '[' ? ']' : '}');
    } else {
      while (/[^\s,\]}#]/.test(this.#text[this.#position] ?? ' ')) {
        this.#advance(1);
      }
    }
  }

  #readContainer(
    path: readonly problems.PathSegment[],
    close: ']' | '}',
  ): void {
    this.#advance(1);
    for (let index = 0; ;) {
      this.#skipTrivia();
      const character = this.#text[this.#position];
      if (character === undefined) return;
      if (character === close) {
        this.#advance(1);
        return;
      }
      if (character === ',') {
        this.#advance(1);
      } else if (close === '}') {
        this.#readKeyValue(path);
      } else {
        const element = [...path, index++];
        this.#recordLine(element);
        this.#readValue(element);
      }
    }
  }

  #readString(): void {
    const quote = this.#text[this.#position] ?? '"';
    const triple = quote.repeat(3);
    const isMultiLine = this.#text.startsWith(triple, this.#position);
    const end = isMultiLine ? triple : quote;
    this.#advance(end.length);
    while (this.#position < this.#text.length) {
      if (quote === '"' && this.#text[this.#position] === '\\') {
        this.#advance(2);
      } else if (this.#text.startsWith(end, this.#position)) {
        this.#advance(end.length);
        // The content of a multi-line string may end with up to two quotes.
        while (isMultiLine && this.#text[this.#position] === quote) {
          this.#advance(1);
        }
        return;
      } else {
        this.#advance(1);
      }
    }
  }

  /** Skips white space, line breaks and comments. */
  #skipTrivia(): void {
    for (;;) {
      const character = this.#text[this.#position];
      if (character === '#') {
        const end = this.#text.indexOf('\n', this.#position);
        this.#position = end === -1 ? this.#text.length : end;
      } else if (character !== undefined && /\s/.test(character)) {
        this.#advance(1);
      } else {
        return;
      }
    }
  }

  #advance(count: number): void {
    for (let step = 0; step < count; step++) {
      if (this.#text[this.#position] === '\n') this.#line++;
      this.#position++;
    }
  }

  #recordLine(path: readonly problems.PathSegment[]): void {
    const key = toPathKey(path);
    if (!this.#lineByPath.has(key)) this.#lineByPath.set(key, this.#line);
  }
}

function toPathKey(path: readonly problems.PathSegment[]): string {
  return path.join('\0');
}
