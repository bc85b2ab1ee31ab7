/** Holds one item for an {@link IndexedHeap}. */
export interface HeapHandle<T> {
  readonly item: T
  /** Index in the heap's array; -1 while the handle is not in a heap. */
  index: number
}

/** Creates a handle that is not in a heap yet. */
export function createHeapHandle<T>(item: T): HeapHandle<T> {
  return { item, index: -1 }
}

/**
 * Binary heap whose items can be removed or reordered in O(log n), because each handle stores its
 * index in the heap.
 *
 * @example
 * const heap = new IndexedHeap<number>((a, b) => a < b)
 * heap.push(createHeapHandle(3))
 */
export class IndexedHeap<T> {
  readonly #nodes: HeapHandle<T>[] = []
  readonly #isBefore: (a: T, b: T) => boolean

  constructor(isBefore: (a: T, b: T) => boolean) {
    this.#isBefore = isBefore
  }

  get size(): number {
    return this.#nodes.length
  }

  /** Returns the first item without removing it. */
  peek(): T | undefined {
    return this.#nodes[0]?.item
  }

  /** Removes and returns the first item. */
  shift(): T | undefined {
    const first = this.#nodes[0]
    if (first) this.remove(first)
    return first?.item
  }

  /** Returns all items in no particular order. */
  items(): T[] {
    return this.#nodes.map(node => node.item)
  }

  /** Adds a handle; one that is already in the heap is reordered. */
  push(handle: HeapHandle<T>): void {
    if (handle.index < 0) {
      handle.index = this.#nodes.length
      this.#nodes.push(handle)
    }
    this.#restoreOrder(handle)
  }

  /** Reorders a handle after its item changed; one that is not in the heap is not added. */
  update(handle: HeapHandle<T>): void {
    if (handle.index >= 0) this.#restoreOrder(handle)
  }

  /** Removes a handle; returns false when it was not in the heap. */
  remove(handle: HeapHandle<T>): boolean {
    if (handle.index < 0) return false
    const last = this.#nodes.pop()
    if (last && last !== handle) {
      last.index = handle.index
      this.#nodes[last.index] = last
      this.#restoreOrder(last)
    }
    handle.index = -1
    return true
  }

  /** Restores the order after many items changed, in O(n). */
  rebuild(): void {
    for (let i = (this.#nodes.length >> 1) - 1; i >= 0; i--) {
      const node = this.#nodes[i]
      if (node) this.#siftDown(node)
    }
  }

  #restoreOrder(node: HeapHandle<T>): void {
    this.#siftUp(node)
    this.#siftDown(node)
  }

  #siftUp(node: HeapHandle<T>): void {
    while (node.index > 0) {
      const parent = this.#nodes[(node.index - 1) >> 1]
      if (!parent || !this.#isBefore(node.item, parent.item)) return
      this.#swap(node, parent)
    }
  }

  #siftDown(node: HeapHandle<T>): void {
    for (;;) {
      const left = this.#nodes[2 * node.index + 1]
      const right = this.#nodes[2 * node.index + 2]
      if (!left) return
      const child = right && this.#isBefore(right.item, left.item) ? right : left
      if (!this.#isBefore(child.item, node.item)) return
      this.#swap(child, node)
    }
  }

  #swap(a: HeapHandle<T>, b: HeapHandle<T>): void {
    const index = a.index
    a.index = b.index
    b.index = index
    this.#nodes[a.index] = a
    this.#nodes[b.index] = b
  }
}
