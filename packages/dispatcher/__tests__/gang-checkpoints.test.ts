import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000e1'

// Guards against members of a gang that resume from different checkpoints: runners list those of the
// members at different times, and the crash of a runner left each task with the one last listed.
void t.test('all members of a gang resume from the same checkpoint', async t => {
  const fleet = createFleet({ dispatcherLeaseMs: 5_000 })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [{ ...oneTask, count: 3, isGang: true, savesProgress: true }])
  await waitUntil(() => runner.running.size === 3)
  for (const [n, task] of [...runner.running.keys()].entries())
    runner.checkpoints.set(task, `saved ${n}`)
  // Two polls, so that each checkpoint has been listed.
  await new Promise(resolve => setTimeout(resolve, 150))
  runner.checkpoints.clear()
  runner.restart()
  await fleet.addRunner('r1')
  await waitUntil(() => runner.startedRuns.length === 6)
  const resumed = runner.startedCheckpoints.slice(3)
  t.match(resumed[0], /^saved/)
  t.equal(new Set(resumed).size, 1)
})
