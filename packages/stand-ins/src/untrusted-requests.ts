/** Header fields with different names, each of 29 bytes. */
export function shortFields(count: number): string {
  let fields = '';
  for (let index = 0; index < count; index++) {
    const suffix = String(index).padStart(8, '0');
    fields += `x-a-${suffix}: value${suffix}\r\n`;
  }
  return fields;
}

/** Header fields with different names, each of 9 bytes. */
export function shortestFields(count: number): string {
  let fields = '';
  for (let index = 0; index < count; index++) {
    fields += `x${String(index).padStart(3, '0')}: 1\r\n`;
  }
  return fields;
}

/** Header fields with names and values of two characters, each of 8 bytes. */
export function tinyFields(count: number): string {
  let fields = '';
  for (let index = 0; index < count; index++) {
    const name = String.fromCharCode(97 + (index % 26), 97 + (index % 25));
    fields += `${name}: zz\r\n`;
  }
  return fields;
}

/** The body of a request in chunks of one byte, with its end. */
export function bodyInTinyChunks(bytes: number): string {
  return `${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`;
}
