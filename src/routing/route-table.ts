/** Finds route and client account of a request in one configuration. */
import type { Random } from "../internal.js";
import type {
  ClientAccount,
  Route,
  ServiceShare,
  SiteConfiguration,
} from "./types.js";

export class RouteTable {
  private readonly routesOfHost = new Map<string, Route[]>();
  private readonly accounts = new Map<string, ClientAccount>();
  private readonly services: ReadonlySet<string>;

  private constructor(readonly configuration: SiteConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesOfHost.get(route.hostname) ?? [];
      routes.push(route);
      this.routesOfHost.set(route.hostname, routes);
    }
    for (const routes of this.routesOfHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of configuration.accounts) {
      for (const credential of account.credentials) {
        this.accounts.set(credential, account);
      }
    }
    this.services = new Set([
      ...configuration.services.map(({ name }) => name),
      ...configuration.routes.flatMap(({ shares }) =>
        shares.map(({ service }) => service),
      ),
    ]);
  }

  static create(configuration: SiteConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Whether requests of routes that aren't public need a credential. */
  get needsCredentials(): boolean {
    return this.configuration.accounts.length > 0;
  }

  /** Whether the service is listed, or a route leads to it. */
  namesService(service: string): boolean {
    return this.services.has(service);
  }

  /** The longest prefix that begins the path. */
  findRoute(hostname: string, path: string): Route | undefined {
    const routes = this.routesOfHost.get(hostname);
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  findAccount(credential: string): ClientAccount | undefined {
    return this.accounts.get(credential);
  }
}

/** Draws one of a route's services by weight. */
export function chooseService(
  shares: readonly ServiceShare[],
  random: Random,
): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  for (const { service, weight } of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service;
}
