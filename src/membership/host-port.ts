/** Validation of addresses from external sources. */

const MAXIMUM_PORT = 65_535;

/**
 * Host name, IPv4 address or IPv6 address in brackets, followed by the port.
 */
const HOST_PORT_PATTERN =
  /^(?:[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?|\[[0-9a-f:.]+\]):(\d{1,5})$/i;

/** DNS names have at most 253 characters. */
const MAXIMUM_ADDRESS_CHARACTERS = 253 + ":65535".length;

/** Whether the text is exactly a host:port that can be connected to. */
export function isHostPort(text: string): boolean {
  if (text.length > MAXIMUM_ADDRESS_CHARACTERS) return false;
  const port = Number(HOST_PORT_PATTERN.exec(text)?.[1]);
  if (!(port >= 1 && port <= MAXIMUM_PORT)) return false;
  // The URL parser checks that numeric hosts are valid IP addresses.
  return URL.canParse(`http://${text}`);
}
