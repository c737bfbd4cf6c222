/** Serializes a value as JSON with sorted keys and no white space. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) =>
    typeof member === 'object' && member !== null && !Array.isArray(member)
      ? Object.fromEntries(
          Object.entries(member).sort(([left], [right]) =>
            left < right ? -1 : 1,
          ),
        )
      : member,
  );
}
