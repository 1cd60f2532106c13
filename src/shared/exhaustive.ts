/** Marks a case that the types rule out. */
export function unreachable(value: never): never {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
}
