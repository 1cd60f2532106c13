/** Binary min-heap of items with numeric keys that don't change. */

interface Node<T> {
  readonly key: number;
  readonly item: T;
}

export class MinHeap<T> {
  private readonly nodes: Node<T>[] = [];

  private constructor() {
    // Instances come from create().
  }

  static create<T>(): MinHeap<T> {
    return new MinHeap<T>();
  }

  get size(): number {
    return this.nodes.length;
  }

  get minimumKey(): number {
    return this.nodes.at(0)?.key ?? Number.POSITIVE_INFINITY;
  }

  get minimum(): T | undefined {
    return this.nodes.at(0)?.item;
  }

  push(key: number, item: T): void {
    const { nodes } = this;
    const node = { key, item };
    let index = nodes.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentNode = nodes.at(parent);
      if (parentNode === undefined || parentNode.key <= key) break;
      nodes[index] = parentNode;
      index = parent;
    }
    nodes[index] = node;
  }

  pop(): T | undefined {
    const { nodes } = this;
    const root = nodes.at(0);
    const last = nodes.pop();
    if (root === undefined || last === undefined) return undefined;
    if (nodes.length > 0) this.siftDown(last);
    return root.item;
  }

  /** Places a node at the root and moves it down until the heap is valid. */
  private siftDown(node: Node<T>): void {
    const { nodes } = this;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const rightKey = nodes.at(right)?.key ?? Number.POSITIVE_INFINITY;
      const leftKey = nodes.at(left)?.key ?? Number.POSITIVE_INFINITY;
      const smallerChild = rightKey < leftKey ? right : left;
      const child = nodes.at(smallerChild);
      if (child === undefined || child.key >= node.key) break;
      nodes[index] = child;
      index = smallerChild;
    }
    nodes[index] = node;
  }
}
