/**
 * HTTP client for the engine's expert maps, weights, step reports and orders.
 */
import { Agent as HttpPool } from "undici";
import * as z from "zod";
import {
  raise,
  toFailure,
  type EngineAnswer,
  type EngineCall,
  type OrderAnswer,
  type OrderCall,
  type StepReport,
  type ExpertWeightId,
} from "../../internal.js";
import { plainMap } from "./wire.js";

const CALL_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

const ballotSchema = z.object({ number: z.number(), author: z.string() });
const memberSchema = z.object({
  member: z.string(),
  ranks: z.array(z.number()),
});

const mapSchema = z.object({
  version: z.number(),
  shape: z.object({
    ranks: z.number(),
    layers: z.number(),
    experts: z.number(),
    slotsPerRank: z.number(),
  }),
  slots: z.array(z.number()),
});

const proposalSchema = z.object({
  id: ballotSchema,
  group: ballotSchema,
  version: z.number(),
  mapHash: z.string(),
  step: z.number(),
  participants: z.array(z.object({ member: z.string(), agent: z.string() })),
});

const stateSchema = z.object({
  engine: z.string(),
  group: ballotSchema.nullable(),
  members: z.array(memberSchema),
  sealed: ballotSchema,
  version: z.number(),
  mapHash: z.string(),
  since: z.number(),
  origin: ballotSchema.nullable(),
  armed: z
    .object({ proposal: proposalSchema, committed: z.boolean() })
    .nullable(),
  floor: ballotSchema,
  step: z.number(),
  stepMs: z.number(),
  heldMs: z.number(),
  heldTotalMs: z.number(),
  stagingHash: z.string(),
  stagingComplete: z.boolean(),
});

const answerSchema = z.object({
  state: stateSchema,
  map: mapSchema.nullable(),
  armedMap: mapSchema.nullable(),
  staged: z
    .array(
      z.object({
        rank: z.number(),
        layer: z.number(),
        expert: z.number(),
        bytes: z.number(),
      }),
    )
    .nullable(),
});

const stepsSchema = z.object({
  reports: z.array(
    z.object({
      group: ballotSchema,
      step: z.number(),
      rank: z.number(),
      version: z.number(),
      mapHash: z.string(),
      durationMs: z.number(),
      counts: z.array(z.array(z.number())),
    }),
  ),
});

const weightsReplySchema = z.object({ heldBytes: z.number() });

const orderStateSchema = z.object({
  engine: z.string(),
  values: z.partialRecord(
    z.enum(["load-model", "load-adapter", "version", "role"]),
    z.string(),
  ),
  fencing: z.number().exactOptional(),
});

interface EngineResponse {
  readonly status: number;
  readonly body: unknown;
}

export class EngineClient implements AsyncDisposable {
  private constructor(
    private readonly origin: string,
    private readonly pool: HttpPool,
  ) {}

  static create(address: string): EngineClient {
    return new EngineClient(address.replace(/\/$/, ""), new HttpPool());
  }

  /** Throws 1607; the call may have taken effect nevertheless. */
  async call(call: EngineCall): Promise<EngineAnswer> {
    const { body } =
      call.kind === "read"
        ? await this.send("GET", `/expert-map?map=${String(call.withMap)}`)
        : await this.send(
            "POST",
            `/expert-map/${call.kind}`,
            JSON.stringify(callBody(call)),
          );
    return parse(answerSchema, body);
  }

  /**
   * Uploads part of an expert's weights; returns how many bytes the engine
   * holds.
   */
  async putWeight(
    { rank, layer, expert }: ExpertWeightId,
    offset: number,
    data: Buffer,
  ): Promise<number> {
    const query = `rank=${rank}&layer=${layer}&expert=${expert}&offset=${offset}`;
    const path = `/expert-map/weights?${query}`;
    const { body } = await this.send("POST", path, data);
    return parse(weightsReplySchema, body).heldBytes;
  }

  async steps(from: number): Promise<readonly StepReport[]> {
    const { body } = await this.send("GET", `/steps?from=${from}`);
    return parse(stepsSchema, body).reports;
  }

  /**
   * The engine answers once the order has taken effect, which can take as long
   * as loading a model. Throws 1607; the order may have taken effect
   * nevertheless.
   */
  async order(call: OrderCall, timeoutMs: number): Promise<OrderAnswer> {
    const { status, body } =
      call.kind === "read"
        ? await this.send("GET", "/orders")
        : await this.send(
            "POST",
            "/orders",
            JSON.stringify(call.order),
            timeoutMs,
          );
    return {
      accepted: status === HTTP_OK,
      state: parse(orderStateSchema, body),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }

  private async send(
    method: "GET" | "POST",
    path: string,
    body?: string | Buffer,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<EngineResponse> {
    const { origin } = this;
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const response = await this.pool.request({
        origin,
        path,
        method,
        signal,
        ...(body === undefined ? {} : { body }),
      });
      const status = response.statusCode;
      const answer: unknown = await response.body.json();
      if (status === HTTP_OK || status === HTTP_CONFLICT) {
        return { status, body: answer };
      }
      return raise(1607, { path, status });
    } catch (error) {
      throw toFailure(error, 1607);
    }
  }
}

function callBody(call: Exclude<EngineCall, { kind: "read" }>): unknown {
  if (call.kind === "arm") {
    const { group, version, step, ...rest } = call.proposal;
    const body = { groupIncarnation: group, version, step, ...rest };
    return { ...body, map: plainMap(call.map) };
  }
  if (call.kind === "join") return { ...call, map: plainMap(call.map) };
  return call;
}

function parse<T>(schema: z.ZodType<T>, body: unknown): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  return raise(1607, { reason: result.error.message });
}
