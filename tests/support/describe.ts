/** Nested `describe` blocks on top of uvu, whose suites can't be nested. */
import { suite } from "uvu";

type Body = () => void | Promise<void>;

interface Block {
  readonly name: string;
  readonly tests: { readonly name: string; readonly body: Body }[];
}

const openBlocks: Block[] = [];

export function describe(name: string, body: () => void): void {
  const parent = openBlocks.at(-1);
  const fullName = parent === undefined ? name : `${parent.name} > ${name}`;
  const block: Block = { name: fullName, tests: [] };
  openBlocks.push(block);
  body();
  openBlocks.pop();
  if (block.tests.length > 0) runBlock(block);
}

export function it(name: string, body: Body): void {
  const block = openBlocks.at(-1);
  if (block === undefined)
    throw new TypeError(`${name}: it() was called outside a describe() block`);
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
