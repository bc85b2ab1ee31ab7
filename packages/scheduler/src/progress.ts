import { z } from 'zod'
import { jobStatuses } from './job.js'

/**
 * Stored progress of one task: done (1 or 0), number of failed runs, number of the last run,
 * checkpoint, id of the runner of the current run and the time at which that runner started. A task
 * without any run is stored as 0 and a task that is done as 1. Rows are rewritten often, so they
 * are kept short.
 */
const taskProgressSchema = z.union([
  z.literal(0),
  z.literal(1),
  z.tuple([z.number(), z.number(), z.number(), z.string(), z.string(), z.number()]),
])

/** Value of a row in the table `progress`. */
export const progressSchema = z.object({
  status: z.enum(jobStatuses),
  /** Queue of the job; callers ask for the state of a job under the path prefix of its queue. */
  queue: z.string(),
  /**
   * Organisation, so that the usage of every run can be counted even where the job's row is not
   * read.
   */
  organisation: z.string().optional(),
  /**
   * When the job ended, in Unix milliseconds; the row is kept for the retention time after that.
   */
  endedAt: z.number().optional(),
  /** Occurrences that have begun, by number: 1 if complete, else the progress of tasks by step. */
  occurrences: z
    .record(z.string(), z.union([z.literal(1), z.array(z.array(taskProgressSchema))]))
    .optional(),
})

export type Progress = z.infer<typeof progressSchema>
export type TaskProgress = z.infer<typeof taskProgressSchema>
