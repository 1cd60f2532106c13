/**
 * The platform of a small deployment: the store with the operator's
 * configuration, and runners that register themselves.
 */
import type { CaseRecord } from "./record.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import {
  SigningRunner,
  type Behaviour,
  type Exchange,
} from "../../standins/signing-runner.js";

export const HOSTNAME = "ficu95.example";
export const MODELS = "huvo11a";
export const ALERTS = "wuno96b";

export const STREAM_PATH = "/lohu930/";
export const ALERT_PATH = "/puxa403/";
export const CHECK_PATH = "/cufi504/";

export const CREDENTIAL = "n2ctnfzs989anu6wsjnb";
/** Interval at which a runner writes its entry, ms. */
const HEARTBEAT_MS = 1200;

/** A request that a runner began to run. */
export interface Run {
  readonly attemptId: string;
  readonly runner: string;
  readonly startedAtMs: number;
  readonly account: string;
}

export interface RunnerOptions {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly behave: Behaviour;
}

type Fields = Readonly<Record<string, unknown>>;

export class Platform implements AsyncDisposable {
  readonly runs: Run[] = [];
  private readonly runners: SigningRunner[] = [];
  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(
    readonly store: KeyedStore,
    private readonly record: CaseRecord,
  ) {}

  static async create(record: CaseRecord): Promise<Platform> {
    return new Platform(await KeyedStore.create(), record);
  }

  /** Routes, services and limits of the Ben Ammar sheet. */
  configure(version: number, fields: Fields = {}): void {
    this.store.put("keyed.op", "config", {
      version,
      routes: [streamRoute(), alertRoute(), checkRoute()],
      services: [
        { name: MODELS, max_conns: 268, engine: { slots: 8, stride: 6 } },
        { name: ALERTS, max_conns: 52 },
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{ name: "hule930", api_keys: [CREDENTIAL] }],
      ...fields,
    });
    this.record.add(`operator: version ${version} acknowledged`);
  }

  async addRunner(options: RunnerOptions): Promise<SigningRunner> {
    const { id, service, slots, behave } = options;
    const runner = await SigningRunner.create(id, (exchange) => {
      this.onRun(id, exchange);
      return behave(exchange);
    });
    this.runners.push(runner);
    let sequence = 0;
    const register = (): void => {
      sequence += 1;
      this.store.put("keyed.servers", id, {
        backend: service,
        address: runner.address,
        zone: "lac-hall",
        version: "v1",
        slots,
        state: "ready",
        cold_left_ms: 0,
        sequence,
      });
    };
    register();
    this.timers.push(setInterval(register, HEARTBEAT_MS));
    return runner;
  }

  runsOf(attemptId: string): readonly Run[] {
    return this.runs.filter((run) => run.attemptId === attemptId);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    for (const runner of this.runners) await runner[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
  }

  private onRun(runner: string, { received }: Exchange): void {
    const { headers } = received;
    const attemptId = String(headers["apricotdeck-attempt-id"]);
    const account = String(headers["apricotdeck-tenant"]);
    const startedAtMs = performance.now();
    this.runs.push({ attemptId, runner, startedAtMs, account });
    this.record.add(`runner ${runner} runs ${attemptId} of ${account}`);
  }
}

export function streamRoute(fields: Fields = {}): Fields {
  return {
    name: "r-stream",
    hostname: HOSTNAME,
    path_prefix: STREAM_PATH,
    route_kind: "streaming",
    timeout_ms: 8000,
    slo_ms: 401,
    gap_slo_ms: 120,
    priority: 1,
    backend: MODELS,
    max_attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    ...fields,
  };
}

export function alertRoute(fields: Fields = {}): Fields {
  return {
    name: "r-alert",
    hostname: HOSTNAME,
    path_prefix: ALERT_PATH,
    route_kind: "non_idempotent",
    timeout_ms: 1000,
    slo_ms: 123,
    priority: 2,
    backend: ALERTS,
    max_attempts: 1,
    public: false,
    ...fields,
  };
}

export function checkRoute(fields: Fields = {}): Fields {
  return {
    name: "r-check",
    hostname: HOSTNAME,
    path_prefix: CHECK_PATH,
    route_kind: "idempotent",
    timeout_ms: 1000,
    slo_ms: 122,
    priority: 2,
    backend: ALERTS,
    max_attempts: 2,
    public: false,
    ...fields,
  };
}
