/** Addresses that come from elsewhere. */

const HIGHEST_PORT = 65_535;

/** A name or an IPv4 address, or an IPv6 address in brackets; then the port. */
const HOST_PORT =
  /^(?:[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?|\[[0-9a-f:.]+\]):(\d{1,5})$/i;

/** A name of the domain name system has no more characters. */
const LONGEST_ADDRESS = 253 + ":65535".length;

/** Whether a connection can be made to it: host:port, and nothing beside. */
export function isHostPort(text: string): boolean {
  if (text.length > LONGEST_ADDRESS) return false;
  const port = Number(HOST_PORT.exec(text)?.[1]);
  if (!(port >= 1 && port <= HIGHEST_PORT)) return false;
  // Knows which numbers are an IP address.
  return URL.canParse(`http://${text}`);
}
