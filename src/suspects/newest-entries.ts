/** Maps that keep their newest entries, ordered from the oldest. */

/** Sets the entry as the newest one; beyond `maximum`, the oldest is dropped. */
export function setNewest<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maximum = Number.POSITIVE_INFINITY,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= maximum) return;
  const [oldest] = map.keys();
  map.delete(oldest);
}
