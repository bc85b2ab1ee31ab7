import { z } from 'zod'
import { jobStatuses } from './job.js'

/**
 * Stored progress of one task: done (1 or 0), runs that failed, number of the last run, checkpoint,
 * runner of the present run and the start of that runner's life. 0 stands for a task untouched so
 * far, 1 for one that is done and needs nothing else. Rows are rewritten often, so they are short.
 */
const taskProgressSchema = z.union([
  z.literal(0),
  z.literal(1),
  z.tuple([z.number(), z.number(), z.number(), z.string(), z.string(), z.number()]),
])

/** Value of a row in the table `progress`. */
export const progressSchema = z.object({
  status: z.enum(jobStatuses),
  /** Queue of the job; state is asked for under the queue's prefix. */
  queue: z.string(),
  /** Organisation, so that the usage of every run is known even where the job's row is not read. */
  organisation: z.string().optional(),
  /** Unix milliseconds of the end, for retention. */
  endedAt: z.number().optional(),
  /** Occurrences begun, by number: 1 when complete, else the tasks by step. */
  occurrences: z
    .record(z.string(), z.union([z.literal(1), z.array(z.array(taskProgressSchema))]))
    .optional(),
})

export type Progress = z.infer<typeof progressSchema>
export type TaskProgress = z.infer<typeof taskProgressSchema>
