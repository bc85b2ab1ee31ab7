/** An item inside an {@link IndexedHeap}; `pos` is -1 while it is outside. */
export interface HeapHandle<T> {
  readonly item: T
  pos: number
}

/** Makes a handle that is not yet inside a heap. */
export function heapHandle<T>(item: T): HeapHandle<T> {
  return { item, pos: -1 }
}

/**
 * Binary heap whose items can be removed or reordered in O(log n), because each handle knows its
 * position.
 *
 * @example
 * const heap = new IndexedHeap<number>((a, b) => a < b)
 * heap.push(heapHandle(3))
 */
export class IndexedHeap<T> {
  readonly #nodes: HeapHandle<T>[] = []
  readonly #before: (a: T, b: T) => boolean

  constructor(before: (a: T, b: T) => boolean) {
    this.#before = before
  }

  get size(): number {
    return this.#nodes.length
  }

  /** The first item, which stays inside. */
  peek(): T | undefined {
    return this.#nodes[0]?.item
  }

  /** Removes and returns the first item. */
  shift(): T | undefined {
    const first = this.#nodes[0]
    if (first) this.remove(first)
    return first?.item
  }

  /** All items, in no particular order. */
  items(): T[] {
    return this.#nodes.map(node => node.item)
  }

  /** Adds a handle; one that is already inside is moved to its place. */
  push(handle: HeapHandle<T>): void {
    if (handle.pos < 0) {
      handle.pos = this.#nodes.length
      this.#nodes.push(handle)
    }
    this.#settle(handle)
  }

  /** Moves a handle to its place after its item changed; one outside stays outside. */
  update(handle: HeapHandle<T>): void {
    if (handle.pos >= 0) this.#settle(handle)
  }

  /** Removes a handle; returns false when it was outside. */
  remove(handle: HeapHandle<T>): boolean {
    if (handle.pos < 0) return false
    const last = this.#nodes.pop()
    if (last && last !== handle) {
      last.pos = handle.pos
      this.#nodes[last.pos] = last
      this.#settle(last)
    }
    handle.pos = -1
    return true
  }

  /** Restores the order after many items changed, in O(n). */
  rebuild(): void {
    for (let i = (this.#nodes.length >> 1) - 1; i >= 0; i--) {
      const node = this.#nodes[i]
      if (node) this.#sink(node)
    }
  }

  #settle(node: HeapHandle<T>): void {
    this.#rise(node)
    this.#sink(node)
  }

  #rise(node: HeapHandle<T>): void {
    while (node.pos > 0) {
      const parent = this.#nodes[(node.pos - 1) >> 1]
      if (!parent || !this.#before(node.item, parent.item)) return
      this.#swap(node, parent)
    }
  }

  #sink(node: HeapHandle<T>): void {
    for (;;) {
      const left = this.#nodes[2 * node.pos + 1]
      const right = this.#nodes[2 * node.pos + 2]
      if (!left) return
      const child = right && this.#before(right.item, left.item) ? right : left
      if (!this.#before(child.item, node.item)) return
      this.#swap(child, node)
    }
  }

  #swap(a: HeapHandle<T>, b: HeapHandle<T>): void {
    const pos = a.pos
    a.pos = b.pos
    b.pos = pos
    this.#nodes[a.pos] = a
    this.#nodes[b.pos] = b
  }
}
