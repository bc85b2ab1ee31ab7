import { waitUntil } from '@bulrushbridge/standins'
import type { LogFields } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000f1'
const task = `${id}.0.0.0`

// An incident in which a task started on a runner that its queue does not allow could not be traced:
// no line named the pool and the life of the runner, nor the other tasks of the step on it.
void t.test('the log tells on what runner a run started and how its entry changed', async t => {
  const lines: { message: string; fields: LogFields }[] = []
  const record = (message: string, fields: LogFields = {}) => {
    lines.push({ message, fields })
  }
  const fleet = createFleet({ log: { debug: record, info: record, warn: record, error: record } })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [{ ...oneTask, count: 2 }])
  await waitUntil(() => lines.filter(({ message }) => message === 'run started').length === 2)
  const started = lines.find(({ fields }) => fields.task === task)
  t.match(started?.fields, { runner: 'r1', pool: 'pool', runnerStartedAt: 1, stepTasks: 2 })
  await fleet.addRunner('r1')
  runner.restart()
  await fleet.addRunner('r1', { labels: ['other-kind', 'rack-1'] })
  const isChange = ({ message }: { message: string }) => message === 'runner entry changed'
  await waitUntil(() => lines.some(isChange))
  const changed = { runner: 'r1', labels: 'other-kind rack-1', startedAt: 2 }
  t.strictSame(lines.filter(isChange), [{ message: 'runner entry changed', fields: changed }])
})
