import { z } from 'zod'
import { jobStatuses } from './job.js'

/**
 * Stored progress of one task: 0 if it never had a run, 1 if it is done, else a tuple. Rows are
 * rewritten often, so they are kept short.
 */
const taskProgressSchema = z.union([
  z.literal(0),
  z.literal(1),
  z.tuple([
    // Always 0: the task is not done.
    z.number(),
    // Number of runs that ended as failed.
    z.number(),
    // Number of the last run.
    z.number(),
    // Checkpoint; empty if there is none.
    z.string(),
    // Id of the runner of the current run; empty if there is none.
    z.string(),
    // When that runner started, in Unix milliseconds; 0 if there is no current run.
    z.number(),
  ]),
])

/**
 * Queue in the progress of a job that was cancelled before it was stored, so that it is never stored.
 * No queue has this name, so the row shows no job to callers.
 */
export const noQueue = ''

/** States of a step whose tasks are stored in blocks. */
export const stepStates = { untouched: '0', done: '1', inBlocks: '2' } as const

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
  /**
   * When the job was accepted, in Unix milliseconds; only of an ended job, whose definition is deleted.
   */
  acceptedAt: z.number().optional(),
  /**
   * Occurrences that have begun, by number: the progress of tasks by step. 1 stands for a complete
   * one; earlier builds wrote it.
   */
  occurrences: z
    .record(z.string(), z.union([z.literal(1), z.array(z.array(taskProgressSchema))]))
    .optional(),
  /** Ranges of the numbers of complete occurrences. */
  complete: z.array(z.tuple([z.number(), z.number()])).optional(),
  /**
   * In place of `occurrences`, for a job whose tasks take too much for one row: by number of the
   * occurrence one character of {@link stepStates} for each step. The progress of the tasks is in rows
   * of the table of task blocks.
   */
  steps: z.record(z.string(), z.string()).optional(),
  /** Crashes of runners by task, `<occurrence>.<step>.<index>`; tasks without crashes are absent. */
  crashes: z.record(z.string(), z.number()).optional(),
})

/** Stored progress of one job, as {@link progressSchema} parses it. */
export type Progress = z.infer<typeof progressSchema>
/** Stored progress of one task, in the short form in which it is stored. */
export type TaskProgress = z.infer<typeof taskProgressSchema>
