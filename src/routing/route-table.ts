/** Looks up the route and the client account of a request. */
import type { Random } from "../internal.js";
import type {
  ClientAccount,
  Route,
  Service,
  ServiceShare,
  SiteConfiguration,
} from "./types.js";

export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly accountsByCredential = new Map<string, ClientAccount>();
  private readonly serviceNames: ReadonlySet<string>;

  private constructor(readonly configuration: SiteConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.hostname) ?? [];
      routes.push(route);
      this.routesByHost.set(route.hostname, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of configuration.accounts) {
      for (const credential of account.credentials) {
        this.accountsByCredential.set(credential, account);
      }
    }
    this.serviceNames = new Set([
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

  /** Whether requests to routes that aren't public need a credential. */
  get needsCredentials(): boolean {
    return this.configuration.accounts.length > 0;
  }

  /** Whether the service is configured or has a share of a route. */
  hasService(service: string): boolean {
    return this.serviceNames.has(service);
  }

  /** Undefined if the configuration only names the service in routes. */
  serviceNamed(name: string): Service | undefined {
    return this.configuration.services.find((service) => service.name === name);
  }

  /** The route with the longest matching path prefix. */
  findRoute(hostname: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(hostname);
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  findAccount(credential: string): ClientAccount | undefined {
    return this.accountsByCredential.get(credential);
  }
}

/** Draws one of a route's services at random, by weight. */
export function chooseService(
  shares: readonly ServiceShare[],
  random: Random,
): string | undefined {
  const totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random() * totalWeight;
  for (const { service, weight } of shares) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return shares.at(-1)?.service;
}
