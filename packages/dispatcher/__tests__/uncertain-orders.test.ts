import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000a1'
const task = `${id}.0.0.0`

// Guards against TWICE: a start without an answer is carried out late, after its repetition was
// refused and the task was started on another runner.
void t.test('a refused repetition does not end a start that may still be carried out', async t => {
  const fleet = createFleet()
  const late = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  late.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => late.delayedCalls === 1)
  late.fault = 'unhealthy'
  const other = await fleet.addRunner('r2')
  // The task can only start again on the other runner.
  await fleet.addRunner('r1', { isDraining: true })
  // Longer than the pause before the repetition.
  await new Promise(resolve => setTimeout(resolve, 300))
  t.same([...other.running], [], 'the first start may still be carried out')
  late.fault = 'none'
  await waitUntil(() => other.running.has(task))
  late.applyDelayed()
  t.same([...late.running], [], 'the task runs once')
})
