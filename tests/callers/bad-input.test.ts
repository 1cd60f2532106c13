import * as assert from "uvu/assert";
import { MODEL } from "../../demo/configurations.js";
import { describe, it } from "../support/describe.js";
import { sendRaw } from "../support/raw-call.js";
import {
  authorization,
  completion,
  credential,
  startServer,
  validBody,
} from "./test-server.js";

interface BadInput {
  readonly name: string;
  readonly parts: readonly string[];
  readonly status: number;
  readonly error: RegExp;
}

const badInputs: readonly BadInput[] = [
  {
    name: "an oversized request head",
    parts: [completion(validBody, [`x-large: ${"a".repeat(4096)}`])],
    status: 413,
    error: /request-too-large/,
  },
  {
    name: "a declared body length over the limit, before the body is sent",
    parts: [completion("").replace("length: 0", "length: 9999999")],
    status: 413,
    error: /request-too-large/,
  },
  {
    name: "a chunked body over the limit",
    parts: [
      completion("").replace("content-length: 0", "transfer-encoding: chunked"),
      `1000\r\n${"a".repeat(4096)}\r\n0\r\n\r\n`,
    ],
    status: 413,
    error: /request-too-large/,
  },
  {
    name: "bad JSON",
    parts: [completion("{")],
    status: 400,
    error: /request-malformed/,
  },
  {
    name: "JSON of another shape",
    parts: [completion(`{"model":["a"],"prompt":"x"}`)],
    status: 400,
    error: /field=model/,
  },
  {
    name: "a negative number of tokens",
    parts: [completion(`{"model":"${MODEL}","prompt":"x","max_tokens":-1}`)],
    status: 400,
    error: /field=max_tokens/,
  },
  {
    name: "an unknown model",
    parts: [completion(`{"model":"other","prompt":"x"}`)],
    status: 404,
    error: /model-unknown/,
  },
  {
    name: "an unknown profile",
    parts: [completion(validBody, ["apricotdeck-profile: nobody"])],
    status: 404,
    error: /profile-unknown/,
  },
  {
    name: "a missing credential",
    parts: [completion(validBody).replace(`${authorization}\r\n`, "")],
    status: 401,
    error: /credential-rejected/,
  },
  {
    name: "a wrong credential",
    parts: [completion(validBody).replace(credential, "guess")],
    status: 401,
    error: /credential-rejected/,
  },
  {
    name: "an unknown path",
    parts: [completion(validBody).replace("/v1/completions", "/v1/files")],
    status: 404,
    error: /path-unknown/,
  },
  {
    name: "a method that the path doesn't take",
    parts: [completion(validBody).replace("POST", "PUT")],
    status: 405,
    error: /method-not-allowed/,
  },
  {
    name: "a header with a line break in its name",
    parts: [completion(validBody, ["x-\rbad: 1"])],
    status: 400,
    error: /request-malformed/,
  },
  {
    name: "both a content length and chunked coding",
    parts: [completion(validBody, ["transfer-encoding: chunked"])],
    status: 400,
    error: /request-malformed/,
  },
  {
    name: "two content lengths that differ",
    parts: [completion(validBody, ["content-length: 1"])],
    status: 400,
    error: /request-malformed/,
  },
  {
    name: "input that isn't HTTP",
    parts: ["\u0016\u0003\u0001hello\r\n\r\n"],
    status: 400,
    error: /request-malformed/,
  },
  {
    name: "a body that never arrives",
    parts: [completion("").replace("length: 0", "length: 20")],
    status: 408,
    error: /request-too-slow/,
  },
  {
    name: "a request head that never ends",
    parts: ["POST /v1/completions HTTP/1.1\r\nhost: entry\r\n"],
    status: 408,
    error: /request-too-slow/,
  },
];

describe("bad input from callers", () => {
  for (const { name, parts, status, error } of badInputs) {
    it(`answers ${name} with ${status} and serves nothing`, async () => {
      await using server = await startServer();
      const answer = await sendRaw(server.address, parts);
      assert.is(answer.status, status, answer.text);
      assert.match(answer.text, error);
      assert.match(answer.text, /"outcome":"not-run"/);
      assert.is(server.served.length, 0);
    });
  }

  it("forwards no credential and no hop-by-hop header to the runner", async () => {
    await using server = await startServer();
    const extra = ["x-forwarded-for: 10.0.0.1", "te: trailers"];
    const answer = await sendRaw(server.address, [
      completion(validBody, extra),
    ]);
    assert.is(answer.status, 200);
    assert.equal(server.served[0].headers, []);
  });

  it("sends the adapter and version of the profile to the runner", async () => {
    await using server = await startServer();
    const extra = ["apricotdeck-profile: welsh", "x-model-adapter: other"];
    const answer = await sendRaw(server.address, [
      completion(validBody, extra),
    ]);
    assert.is(answer.status, 200, answer.text);
    assert.equal(server.served[0].headers, [
      { name: "x-model-adapter", value: "welsh" },
      { name: "x-model-version", value: "v2" },
    ]);
  });

  it("treats bytes after a short content length as another request", async () => {
    await using server = await startServer();
    const smuggled = completion(validBody);
    const short = completion("{}")
      .replace("connection: close\r\n", "")
      .concat(smuggled.replace(authorization, "authorization: Bearer guess"));
    const answer = await sendRaw(server.address, [short]);
    assert.match(answer.text, /request-malformed/);
    assert.match(answer.text, /credential-rejected/);
    assert.is(server.served.length, 0);
  });
});
