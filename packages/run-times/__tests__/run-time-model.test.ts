import t from 'tap'
import { createRunTimeModel, maxKeys, type RunTimeModel } from '../src/index.js'
import { comparePredictions, differingImages, generateRuns } from './generated-runs.js'

const kind = { queue: 'finder', image: 'finder/index:4', cpuMillis: 6_200, declaredMs: 1_000 }

function observeTimes(model: RunTimeModel, times: readonly number[], changes = {}): void {
  for (const ms of times) model.observe({ ...kind, ...changes, ms })
}

// Guards against estimates before any run that are neither what the submitter declares nor what the
// dispatcher used so far.
void t.test('without runs the estimate is the declared one', t => {
  const model = createRunTimeModel()
  t.equal(Math.round(model.estimate(kind).meanMs), 1_000)
  t.equal(Math.round(model.estimateMs('finder', 300)), 300)
  const { quantileMs } = model.estimate(kind)
  t.ok(quantileMs(0.5) < quantileMs(0.9) && quantileMs(0.9) < quantileMs(0.99))
  t.end()
})

// Guards against a change for callers that have no step, and for steps without an image: the estimate of
// a queue is the geometric mean with the declared estimate mixed in.
void t.test('a queue is estimated by its geometric mean and the declared estimate', t => {
  const model = createRunTimeModel()
  let meanLog = 0
  const runs = [...generateRuns({ seed: 3, count: 60, images: differingImages, declaredBy: 'run' })]
  for (const [index, { ms }] of runs.entries()) {
    model.observe({ ...kind, ms })
    const count = index + 1
    meanLog += Math.max(0.05, 1 / count) * (Math.log(ms) - meanLog)
    const weight = Math.min(1, count / 10) * 0.7
    const expectedMs = Math.exp(weight * meanLog + (1 - weight) * Math.log(500))
    t.ok(Math.abs(model.estimateMs('finder', 500) / expectedMs - 1) < 1e-9, `after ${count} runs`)
    const withoutImage = { queue: 'finder', cpuMillis: 6_200, declaredMs: 500 }
    t.equal(model.estimate(withoutImage).meanMs, model.estimateMs('finder', 500))
  }
  t.end()
})

// Guards against a model that is no better than what it replaces on the load it was made for. Error:
// mean absolute logarithm of predicted over actual time, as a factor minus 1.
void t.test('learned estimates are closer than the declared ones and the mean of the queue', t => {
  for (const declaredBy of ['run', 'image'] as const) {
    for (const [count, warmUp] of [
      [40, 0],
      [200, 40],
      [3_000, 500],
    ] as const) {
      for (const seed of [1, 2, 3, 4, 5]) {
        const runs = generateRuns({ seed, count, images: differingImages, declaredBy })
        const { learned, byQueue, declared } = comparePredictions(runs, warmUp)
        const figures = [learned, byQueue, declared].map(value => value.toFixed(3)).join(' / ')
        const title = `off by ${declaredBy}, runs ${warmUp} to ${count}: ${figures}`
        t.ok(learned < declared && learned < byQueue, title)
        if (warmUp > 0) t.ok(learned < 0.6 * byQueue && learned < 0.4 * declared, title)
      }
    }
  }
  t.end()
})

// Guards against a median or a tail that does not show the long tasks: 3 in 100 take 7 times as long.
void t.test('quantiles show how long the usual and the long tasks take', t => {
  const model = createRunTimeModel()
  const runs = generateRuns({ seed: 9, count: 3_000, images: differingImages, declaredBy: 'run' })
  for (const run of runs) model.observe(run)
  for (const { usualMs, ...image } of differingImages) {
    const { quantileMs } = model.estimate({ ...image, declaredMs: usualMs })
    const factors = [0.5, 0.9, 0.99].map(q => quantileMs(q) / usualMs)
    const [median = 0, high = 0, long = 0] = factors
    t.ok(median > 0.85 && median < 1.15, `median of ${image.image}: ${median.toFixed(2)}`)
    t.ok(high > 1 && high < 1.5, `0.9 of ${image.image}: ${high.toFixed(2)}`)
    t.ok(long > 5 && long < 9, `0.99 of ${image.image}: ${long.toFixed(2)}`)
  }
  t.end()
})

// Guards against an image whose first run is one of the long ones: jobs of it would count as late at once.
void t.test(
  'one long run of a new image moves its estimate by less than half of its logarithm',
  t => {
    const model = createRunTimeModel()
    observeTimes(model, new Array<number>(50).fill(1_000), { image: 'finder/other:1' })
    observeTimes(model, [7_000])
    const { meanMs } = model.estimate(kind)
    t.ok(meanMs > 1_000 && meanMs < 1_000 * Math.sqrt(7), `${Math.round(meanMs)} ms`)
    observeTimes(model, new Array<number>(20).fill(1_000))
    t.ok(model.estimate(kind).meanMs < 1_150, 'further runs outweigh it')
    t.end()
  },
)

// Guards against one estimate for small and large tasks of an image, and for images of one queue.
void t.test('images and size classes are told apart', t => {
  const model = createRunTimeModel()
  observeTimes(model, new Array<number>(40).fill(650))
  observeTimes(model, new Array<number>(40).fill(1_300), { cpuMillis: 13_000 })
  observeTimes(model, new Array<number>(40).fill(200), { image: 'finder/tiny:1' })
  const estimateOf = (changes: object) => model.estimate({ ...kind, ...changes }).meanMs
  t.ok(Math.abs(estimateOf({}) / 650 - 1) < 0.1)
  t.ok(Math.abs(estimateOf({ cpuMillis: 13_000 }) / 1_300 - 1) < 0.1)
  t.ok(Math.abs(estimateOf({ image: 'finder/tiny:1' }) / 200 - 1) < 0.1)
  const otherSize = estimateOf({ cpuMillis: 50_000 })
  t.ok(otherSize > 700 && otherSize < 1_200, 'an unknown size gets the mean of the image')
  t.end()
})

// Guards against images whose tasks differ while their declared estimates are right.
void t.test('declared estimates count within an image where they say something', t => {
  const model = createRunTimeModel()
  const times = [200, 400, 800, 1_600, 3_200]
  for (let round = 0; round < 10; round++)
    for (const ms of times) model.observe({ ...kind, declaredMs: 2 * ms, ms })
  for (const ms of times) {
    const { meanMs } = model.estimate({ ...kind, declaredMs: 2 * ms })
    t.ok(Math.abs(Math.log(meanMs / ms)) < 0.25, `${ms} ms is estimated as ${meanMs.toFixed(0)} ms`)
  }
  t.end()
})

// Guards against learning only from the runs that are short: when tasks take 10 times what is declared,
// nothing ends for long, and runs would count as stalled.
void t.test('runs beyond their expected time raise the estimate before one has ended', t => {
  const model = createRunTimeModel()
  const active = Array.from({ length: 8 }, () => ({ ...kind, id: {}, ms: 3_000 }))
  model.setActive(active.map(run => ({ ...run, ms: 200 })))
  model.setActive(active)
  t.ok(model.estimate(kind).meanMs > 2_000)
  model.setActive(active.map(run => ({ ...run, ms: 500 })))
  t.equal(Math.round(model.estimate(kind).meanMs), 1_000, 'runs within their time say nothing')
  model.setActive(active.map(run => ({ ...run, id: {}, ms: 3_000 })))
  t.equal(Math.round(model.estimate(kind).meanMs), 1_000, 'runs of an earlier term do not count')
  model.setActive([])
  t.equal(Math.round(model.estimate(kind).meanMs), 1_000, 'nothing is left of ended runs')
  t.end()
})

// Guards against the bias by which long runs are seen more often than short ones: the 3 in 100 long ones
// make up a fifth of the runs at any time, here 27 of each image, and would raise its estimate by half.
void t.test('long runs that are seen in many checks do not raise the estimate', t => {
  const model = createRunTimeModel()
  const runs = generateRuns({ seed: 5, count: 12_000, images: differingImages, declaredBy: 'run' })
  // One run begins each millisecond, and the active ones are passed each 200 ms.
  const active: { id: object; startsAt: number; run: Parameters<RunTimeModel['observe']>[0] }[] = []
  const highest = new Map<string, number>()
  let now = 0
  for (const run of runs) {
    now += 1
    active.push({ id: {}, startsAt: now, run })
    for (const entry of [...active]) {
      if (entry.startsAt + entry.run.ms > now) continue
      model.observe(entry.run)
      active.splice(active.indexOf(entry), 1)
    }
    if (now % 200 !== 0) continue
    model.setActive(
      active.map(({ id, startsAt, run: kind }) => ({ ...kind, id, ms: now - startsAt })),
    )
    if (now < 6_000) continue
    for (const { usualMs, ...image } of differingImages) {
      const factor = model.estimate({ ...image, declaredMs: usualMs }).meanMs / usualMs
      highest.set(image.image, Math.max(factor, highest.get(image.image) ?? 0))
    }
  }
  for (const [image, factor] of highest) t.ok(factor < 1.35, `${image}: ${factor.toFixed(2)}`)
  t.end()
})

// Guards against a model that grows with the image names that callers invent, and one that forgets what
// is in use for them.
void t.test('the least recently used keys are evicted', t => {
  const model = createRunTimeModel()
  observeTimes(model, new Array<number>(30).fill(400))
  const before = model.estimate(kind).meanMs
  for (let number = 0; number < 3 * maxKeys; number++) {
    observeTimes(model, [5_000], { queue: 'other', image: `image-${number}` })
    t.ok(model.keyCount <= maxKeys)
    if (number % 100 === 0) model.estimate(kind)
  }
  t.equal(model.estimate(kind).meanMs, before, 'a key that is asked for stays')
  const evicted = { ...kind, queue: 'other', image: 'image-0' }
  t.equal(model.estimate(evicted).runs, 0)
  t.end()
})
