import { partNames, queuedJobKey, queuedJobsTable } from '@bulrushbridge/scheduler'
import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost } from './host-process.js'

const clients = 60

/** Bytes that each client sends at most. */
const maxBytes = 1_000_000

/** Jobs that wait in the queue, in each part of the table. */
const waitingJobsPerPart = 2_500

/** Rows in one transaction. */
const batchSize = 50

// Guards against a process that reads the rows of all waiting jobs for each of many requests at once.
void t.test('requests for the number of waiting jobs of a long queue', async t => {
  const host = await startHost(t)
  for (const part of partNames) {
    for (let first = 0; first < waitingJobsPerPart; first += batchSize) {
      const writes = Array.from({ length: batchSize }, (_, n) => {
        const id = String(first + n).padStart(16, '0')
        return { table: queuedJobsTable, part, key: queuedJobKey('jobs', id), value: 1 }
      })
      await host.storeRows.commit({ checks: [], writes })
    }
  }
  const repeated = `GET /jobs/ HTTP/1.1\r\n${host.usualHeaders}\r\n`
  const target = { host: host.ip, port: host.ports.callers }
  const load = await runClients({ ...target, clients, repeated, maxBytes })
  load.close()
  await host.checkAfterLoad(t)
})
