import { StoreError } from '@bulrushbridge/store'
import t from 'tap'
import { createStoreReadGate } from '../src/store-read-gate.js'

function createReads() {
  const started: string[] = []
  const finishers: (() => void)[] = []
  const read = (name: string) => () => {
    started.push(name)
    return new Promise<string>(resolve => {
      finishers.push(() => {
        resolve(name)
      })
    })
  }
  return { started, read, finishNext: () => finishers.shift()?.() }
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve))

// Guards against requests for the state of jobs that pile up at a slow store.
void t.test('reads run in order up to the bound, and further ones are refused', async t => {
  const gate = createStoreReadGate({ maxRunning: 1, maxWaiting: 1 })
  const { started, read, finishNext } = createReads()
  const first = gate.run(undefined, read('first'))
  const second = gate.run(undefined, read('second'))
  await t.rejects(gate.run(undefined, read('third')), StoreError)
  t.same(started, ['first'])
  finishNext()
  t.equal(await first, 'first')
  await nextTurn()
  t.same(started, ['first', 'second'])
  finishNext()
  t.equal(await second, 'second')
  t.equal(gate.waiting(), 0)
})

// Guards against reads for callers that have left, and against a turn that is lost with them.
void t.test('a waiting read is given up when its caller leaves', async t => {
  const gate = createStoreReadGate({ maxRunning: 1, maxWaiting: 5 })
  const { started, read, finishNext } = createReads()
  const controller = new AbortController()
  const first = gate.run(undefined, read('first'))
  const second = gate.run(controller.signal, read('second'))
  const third = gate.run(undefined, read('third'))
  controller.abort()
  await t.rejects(second, StoreError)
  t.equal(gate.waiting(), 1)
  await t.rejects(gate.run(controller.signal, read('late')), StoreError)
  finishNext()
  await first
  await nextTurn()
  t.same(started, ['first', 'third'])
  finishNext()
  await third
})
