import t from 'tap'
import { dispatchCapacity } from '../src/index.js'

// A host with a fast processor behind a narrow link must not count as strong, nor the reverse.
void t.test('the narrower of processor and network link limits a dispatcher', t => {
  const strong = dispatchCapacity({ processorCores: 1.35, linkMbps: 140 })
  t.ok(dispatchCapacity({ processorCores: 0.324, linkMbps: 140 }) < strong / 2)
  t.ok(dispatchCapacity({ processorCores: 1.35, linkMbps: 7 }) < strong / 2)
  t.end()
})
