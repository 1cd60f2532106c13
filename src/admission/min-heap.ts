/** Binary heap of items by a number that is fixed while they are inside. */

interface Node<T> {
  readonly key: number;
  readonly item: T;
}

export class MinHeap<T> {
  private readonly nodes: Node<T>[] = [];

  private constructor() {
    // Made by create.
  }

  static create<T>(): MinHeap<T> {
    return new MinHeap<T>();
  }

  get size(): number {
    return this.nodes.length;
  }

  get leastKey(): number {
    return this.nodes.at(0)?.key ?? Number.POSITIVE_INFINITY;
  }

  get least(): T | undefined {
    return this.nodes.at(0)?.item;
  }

  push(key: number, item: T): void {
    const { nodes } = this;
    const node = { key, item };
    let index = nodes.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = nodes.at(parent);
      if (above === undefined || above.key <= key) break;
      nodes[index] = above;
      index = parent;
    }
    nodes[index] = node;
  }

  pop(): T | undefined {
    const { nodes } = this;
    const least = nodes.at(0);
    const last = nodes.pop();
    if (least === undefined || last === undefined) return undefined;
    if (nodes.length > 0) this.sink(last);
    return least.item;
  }

  /** Places a node at the root and moves it down to where it belongs. */
  private sink(node: Node<T>): void {
    const { nodes } = this;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const rightKey = nodes.at(right)?.key ?? Number.POSITIVE_INFINITY;
      const leftKey = nodes.at(left)?.key ?? Number.POSITIVE_INFINITY;
      const smaller = rightKey < leftKey ? right : left;
      const child = nodes.at(smaller);
      if (child === undefined || child.key >= node.key) break;
      nodes[index] = child;
      index = smaller;
    }
    nodes[index] = node;
  }
}
