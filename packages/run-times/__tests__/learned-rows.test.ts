import fc from 'fast-check'
import t from 'tap'
import { createRunTimeModel, maxKeys, maxRowBytes, type LearnedRow } from '../src/index.js'
import { createRandom, differingImages, generateRuns } from './generated-runs.js'

const kind = { queue: 'finder', image: 'finder/index:4', cpuMillis: 6_200, declaredMs: 1_000 }

function learnedModel() {
  const model = createRunTimeModel()
  const runs = generateRuns({ seed: 4, count: 1_000, images: differingImages, declaredBy: 'run' })
  for (const run of runs) model.observe(run)
  return model
}

/** What a row holds after it was stored and read. */
const storedOf = (rows: readonly LearnedRow[]) => JSON.parse(JSON.stringify(rows)) as LearnedRow[]

// Guards against estimates that change at a takeover.
void t.test('a restored model estimates as the one that was encoded', t => {
  const model = learnedModel()
  const restored = createRunTimeModel()
  t.same(restored.restore(storedOf(model.encode())), [])
  for (const { usualMs, ...image } of differingImages) {
    const step = { ...image, declaredMs: usualMs }
    const [before, after] = [model.estimate(step), restored.estimate(step)]
    t.ok(Math.abs(after.meanMs / before.meanMs - 1) < 0.001)
    for (const q of [0.5, 0.9, 0.99])
      t.ok(Math.abs(after.quantileMs(q) / before.quantileMs(q) - 1) < 0.05)
    t.equal(after.runs, before.runs)
  }
  t.same(restored.encode(), model.encode())
  t.end()
})

// Guards against rows that the store refuses, so that nothing is kept.
void t.test('a full model fits into a few rows of the size that the store takes', t => {
  const model = createRunTimeModel()
  const random = createRandom(1)
  for (let number = 0; number < 60_000; number++) {
    const image = `${String(number % 250).padStart(4, '0')}${'é'.repeat(500)}`
    const ms = Math.exp(12 * random())
    model.observe({ queue: 'q'.repeat(300), image, cpuMillis: 100, declaredMs: 1e9 * random(), ms })
  }
  t.ok(model.keyCount > 500 && model.keyCount <= maxKeys)
  const rows = model.encode()
  for (const { value } of rows) t.ok(JSON.stringify(value).length <= maxRowBytes)
  t.ok(rows.length <= 6, `${rows.length} rows`)
  t.same(createRunTimeModel().restore(storedOf(rows)), [])
  t.end()
})

// Guards against a takeover that fails, or learns nothing any more, because of a row that another version
// wrote or that is damaged.
void t.test('rows that are malformed or of another version are ignored, the others are used', t => {
  const [row] = storedOf(learnedModel().encode())
  const value = row?.value as { version: number; keys: unknown[] }
  const model = createRunTimeModel()
  const problems = model.restore([
    { key: 'run-times/1', value: { ...value, version: 2 } },
    { key: 'run-times/2', value: { ...value, keys: [['finder', 'many']] } },
    { key: 'run-times/3', value: 'text' },
    { key: 'run-times/4', value: null },
    { key: 'run-times/0', value },
  ])
  t.same(problems, [
    { key: 'run-times/1', reason: 'version 2' },
    { key: 'run-times/2', reason: 'malformed' },
    { key: 'run-times/3', reason: 'malformed' },
    { key: 'run-times/4', reason: 'malformed' },
  ])
  t.ok(model.estimate(kind).runs > 50)
  t.end()
})

// Guards against a late read that replaces what was learned meanwhile.
void t.test('restoring does not replace keys that were observed', t => {
  const rows = learnedModel().encode()
  const model = createRunTimeModel()
  for (let count = 0; count < 30; count++) model.observe({ ...kind, ms: 5_000 })
  const before = model.estimate(kind).meanMs
  model.restore(rows)
  t.equal(model.estimate(kind).meanMs, before)
  t.ok(model.estimate({ ...kind, queue: 'mapper', image: 'mapper/tile:9' }).runs > 50)
  t.end()
})

// Guards against names that fall together with other keys, or that break the limits of a row.
void t.test('any names of queues and images give separate keys', t => {
  const name = fc.oneof(fc.string(), fc.constantFrom('', '|', 'a|b', 'a', 'b', '__proto__', '#'))
  const property = fc.property(name, name, fc.nat(64_000), (queue, image, cpuMillis) => {
    const model = createRunTimeModel()
    const own = { queue, image, cpuMillis, declaredMs: 1_000 }
    for (let count = 0; count < 40; count++) {
      model.observe({ ...own, queue: `${queue}|${image}`, ms: 1_000 })
      model.observe({ ...own, ms: 100 })
    }
    const other = model.estimate({ ...own, queue: `${queue}|${image}` }).meanMs
    return other > 950 && model.estimate(own).meanMs < 250
  })
  fc.assert(property, { seed: 11, numRuns: 300 })
  t.end()
})

// Guards against a row that makes estimates infinite or not a number, by which steps could not be sorted.
void t.test('whatever a row holds, estimates are positive numbers', t => {
  const numbers = fc.double({ noDefaultInfinity: false })
  const entry = fc.tuple(
    fc.constantFrom('finder', 'finder|finder/index:4', 'finder|finder/index:4|3'),
    numbers,
    numbers,
    numbers,
    numbers,
    numbers,
    fc.array(numbers, { maxLength: 45 }),
  )
  const bounded = fc.tuple(
    fc.constantFrom('finder', 'finder|finder/index:4', 'finder|finder/index:4|3'),
    fc.nat(100),
    fc.double({ min: -30, max: 40, noNaN: true }),
    fc.double({ min: -30, max: 40, noNaN: true }),
    fc.nat(1_000),
    fc.integer({ min: -1_000, max: 1_000 }),
    fc.array(fc.nat(100), { maxLength: 64 }),
  )
  const property = fc.property(fc.array(fc.oneof(entry, bounded), { maxLength: 4 }), keys => {
    const model = createRunTimeModel()
    model.restore([{ key: 'run-times/0', value: { version: 1, keys } }])
    model.observe({ ...kind, ms: 700 })
    const { meanMs, quantileMs } = model.estimate(kind)
    const values = [meanMs, quantileMs(0), quantileMs(0.5), quantileMs(1)]
    return values.every(value => value > 0 && Number.isFinite(value))
  })
  fc.assert(property, { seed: 12, numRuns: 500 })
  t.end()
})
