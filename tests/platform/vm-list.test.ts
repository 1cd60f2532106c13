import * as assert from "uvu/assert";
import { readVmList } from "../../src/platform/vm-list-client.js";
import { CannedResponseServer } from "../support/canned-response-server.js";
import { describe, it } from "../support/describe.js";

const vm = {
  name: "vm-1",
  role: "backend",
  address: "10.0.0.1:80",
  operators: "10.0.0.1:81",
  dataCentre: "here",
  state: "live",
};

async function namesOf(body: string): Promise<string[]> {
  await using service = await CannedResponseServer.create(() => ({ body }));
  const vms = await readVmList(`http://${service.address}`);
  return vms.map(({ name }) => name);
}

describe("list of VMs", () => {
  it("keeps all other VMs when one is unreadable", async () => {
    // A newer release of the platform lists a VM with a role that this one
    // doesn't know. If that made the whole list invalid, new backend servers
    // would not be discovered.
    const invalidVms = [
      null,
      {},
      { ...vm, role: "relay" },
      { ...vm, state: "resting" },
      { ...vm, address: 80 },
      { ...vm, address: "10.0.0.1" },
      { ...vm, name: "" },
    ];
    const vms = [vm, ...invalidVms, { ...vm, name: "vm-2" }];
    assert.equal(await namesOf(JSON.stringify({ vms })), ["vm-1", "vm-2"]);
  });

  it("isn't taken from an unreadable response", async () => {
    for (const body of ["{", "[]", '{"vms":{}}']) {
      let message = "none";
      try {
        await namesOf(body);
      } catch (error) {
        message = String(error);
      }
      assert.match(message, "1903");
    }
  });
});
