import t from 'tap'
import { createSharedReads } from '../src/shared-reads.js'

/** Reads that end when the test says so; each returns the number of reads that began before it. */
function setup() {
  const ends: (() => void)[] = []
  const reads = createSharedReads<number>()
  const read = (key = 'k') =>
    reads.read(key, () => {
      const result = ends.length
      return new Promise((resolve, reject) =>
        ends.push(() => {
          if (result === 2) reject(new Error('failed'))
          else resolve(result)
        }),
      )
    })
  return { ends, read }
}

// Guards against a result that is older than the request for it.
void t.test('requests during a read share the next one', async t => {
  const { ends, read } = setup()
  const first = read()
  const others = [read(), read(), read()]
  t.equal(ends.length, 1)
  ends[0]?.()
  t.equal(await first, 0)
  await Promise.resolve()
  t.equal(ends.length, 2)
  ends[1]?.()
  t.same(await Promise.all(others), [1, 1, 1])
})

// Guards against a failed read after which no other begins, and against reads of one key that wait for
// those of another.
void t.test('a failed read fails its requests only', async t => {
  const { ends, read } = setup()
  void read('a')
  void read('b')
  const failing = read('c')
  const next = read('c')
  t.equal(ends.length, 3)
  ends[2]?.()
  await t.rejects(failing, /failed/)
  await Promise.resolve()
  t.equal(ends.length, 4)
  ends[3]?.()
  t.equal(await next, 3)
})
