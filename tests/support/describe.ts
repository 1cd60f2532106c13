/** Nested `describe` blocks over uvu's suites, which have none. */
import { suite } from "uvu";

type Body = () => void | Promise<void>;

interface Block {
  readonly name: string;
  readonly tests: { readonly name: string; readonly body: Body }[];
}

const open: Block[] = [];

export function describe(name: string, body: () => void): void {
  const parent = open.at(-1);
  const fullName = parent === undefined ? name : `${parent.name} > ${name}`;
  const block: Block = { name: fullName, tests: [] };
  open.push(block);
  body();
  open.pop();
  if (block.tests.length > 0) runBlock(block);
}

export function it(name: string, body: Body): void {
  const block = open.at(-1);
  if (block === undefined) throw new TypeError(`${name}: outside a describe`);
  block.tests.push({ name, body });
}

function runBlock(block: Block): void {
  const tests = suite(block.name);
  for (const { name, body } of block.tests) {
    tests(name, async () => {
      await body();
    });
  }
  tests.run();
}
