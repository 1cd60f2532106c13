import * as assert from "uvu/assert";
import { BodyBuffer } from "../../src/intake/body-buffer.js";
import { describe, it } from "../support/describe.js";

const LIMIT_BYTES = 100_000;

describe("body buffer", () => {
  it("holds no more than twice the length of a body in small parts", () => {
    // Guards against a body that takes a hundred times its length because each
    // of its parts is kept as an object.
    const body = BodyBuffer.create(LIMIT_BYTES);
    const text = "0123456789".repeat(1000);
    for (const byte of Buffer.from(text)) {
      assert.ok(body.append(Buffer.from([byte])));
    }
    assert.is(body.read().toString(), text);
    assert.ok(body.capacityBytes <= 2 * text.length);
  });

  it("says before a part is appended what will be held", () => {
    // Guards against memory that is taken before it is counted.
    const body = BodyBuffer.create(LIMIT_BYTES);
    for (const bytes of [1, 5000, 3, 20_000, 70_000]) {
      const announced = body.capacityWith(bytes);
      assert.ok(body.append(Buffer.alloc(bytes)));
      assert.is(body.capacityBytes, announced);
    }
  });

  it("takes a body of exactly its limit and nothing beyond it", () => {
    // Guards against a limit that cuts a body of the largest allowed size.
    const body = BodyBuffer.create(LIMIT_BYTES);
    assert.ok(body.append(Buffer.alloc(LIMIT_BYTES - 1)));
    assert.ok(body.append(Buffer.alloc(1)));
    assert.not.ok(body.append(Buffer.alloc(1)));
    assert.is(body.read().length, LIMIT_BYTES);
    assert.is(body.capacityBytes, LIMIT_BYTES);
  });
});
