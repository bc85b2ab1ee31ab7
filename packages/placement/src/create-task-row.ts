import { randomUUID } from 'node:crypto'
import type { TaskRow } from '@bulrushbridge/host'
import { jobKey } from '@bulrushbridge/jobs'
import type { JobPlacement } from './choose-placements.js'

/** Creates the row of a task for a placement whose job is about to be claimed. */
export function createTaskRow(
  { job, worker, size }: JobPlacement,
  { pool, token, boot }: Pick<TaskRow, 'pool' | 'token' | 'boot'>,
): TaskRow {
  return {
    taskId: randomUUID(),
    jobId: job.id,
    jobKey: jobKey(job.team, job.id),
    team: job.team,
    queue: job.queue,
    pool,
    worker: worker.id,
    address: worker.address,
    rack: worker.rack,
    zone: worker.zone,
    state: 'starting',
    idempotent: job.idempotent,
    urgent: job.urgent,
    kind: job.kind,
    token,
    boot,
    cpus: size.cpus,
    memoryMb: size.memoryMb,
    accelerators: size.accelerators,
    ...(job.workerLosses === undefined ? {} : { workerLosses: job.workerLosses }),
  }
}
