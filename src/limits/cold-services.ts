/**
 * The services whose configuration names a rate for cold runners. An unusable
 * rate is logged, and the service keeps the one that it had.
 */
import type { Emit } from "../internal.js";
import type { Service } from "../routing/types.js";
import type { ColdService } from "./types.js";

/** Warm-up time of a runner where the configuration names none, ms. */
const DEFAULT_COLD_START_MS = 5000;

export class ColdServices {
  private services: ReadonlyMap<string, ColdService> = new Map();

  private constructor(private readonly emit: Emit) {}

  static create(emit: Emit): ColdServices {
    return new ColdServices(emit);
  }

  /** Whether any service has a rate for cold runners. */
  get areAny(): boolean {
    return this.services.size > 0;
  }

  named(name: string): ColdService | undefined {
    return this.services.get(name);
  }

  configure(services: readonly Service[]): void {
    const next = new Map<string, ColdService>();
    for (const service of services) {
      const cold = this.coldServiceOf(service);
      if (cold !== undefined) next.set(service.name, cold);
    }
    this.services = next;
  }

  private coldServiceOf(service: Service): ColdService | undefined {
    const { name, coldRequestsPerSecond: requestsPerSecond } = service;
    if (requestsPerSecond === undefined) return undefined;
    const startMs = service.coldStartMs ?? DEFAULT_COLD_START_MS;
    if (requestsPerSecond > 0) return { requestsPerSecond, startMs };
    const known = this.services.get(name);
    const kept = known?.requestsPerSecond ?? null;
    this.emit(245, { service: name, requestsPerSecond: kept });
    return known;
  }
}
