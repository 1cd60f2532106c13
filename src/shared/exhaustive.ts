/** Marks a case that the types exclude. */
export function unreachable(value: never): never {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
}
