import { z } from 'zod'

/** Most tasks of one step. */
export const maxStepTasks = 10_000

const amountSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER)

const amountsSchema = z.object({
  cpuMillis: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema,
})

/**
 * A step of a job, which consists of `count` equal tasks. Finite tasks end by themselves; lasting
 * tasks run until their job is cancelled. Serving tasks are those with a `targetMs`.
 */
export const stepSchema = z.object({
  count: z.int().min(1).max(maxStepTasks),
  /** Resources that one task needs. */
  amounts: amountsSchema,
  /** The submitter's estimate of the run time of one task, in milliseconds. */
  estimateMs: z.number(),
  /** Name of what the tasks execute; tasks of the same image behave alike. */
  image: z.string().optional(),
  /** Numbers of earlier steps whose tasks must all be done first. */
  after: z.array(z.int()).optional(),
  /** The checkpoints of runs are kept, and the next run of a task resumes from the last one. */
  savesProgress: z.boolean().optional(),
  /** The tasks can work only together, so they start at once and share a run number. */
  isGang: z.boolean().optional(),
  /** The tasks of a gang preferably start in one rack; if none holds them all, in any racks. */
  sameRack: z.boolean().optional(),
  /** Label that a runner must have to run the tasks. */
  needs: z.string().optional(),
  /** Rack that holds the data of the tasks; runners there are preferred. */
  affinityRack: z.string().optional(),
  /** Most tasks of the step on one runner. */
  maxPerRunner: z.int().optional(),
  /** Neither the scheduler nor the dispatcher uses this. */
  allowsDuplicates: z.boolean().optional(),
  /** The tasks are lasting: they run until the job is cancelled. */
  isLasting: z.boolean().optional(),
  /**
   * Tail latency of its requests that a serving task must stay below, in milliseconds; unset for
   * other tasks. It is not related to the time within which a job is on time.
   */
  targetMs: z.number().optional(),
  /** The tasks are fillers: they use only processor time that other tasks leave. */
  isFiller: z.boolean().optional(),
  /**
   * Most tasks of a lasting step that may be unavailable at once when an upkeep begins. Tasks that
   * are unavailable for another reason count too. Unset means no limit.
   */
  mayMiss: z.int().optional(),
})

/** When the steps of a repeated job run. */
export const scheduleSchema = z.object({
  occurrences: z.int().min(1),
  /** When the first occurrence is due, in Unix milliseconds. */
  firstAt: z.number(),
  intervalMs: z.number(),
})

/** A job as it was accepted. It is the value of the job's row in the table `jobs`. */
export const jobSchema = z.object({
  /**
   * The submitter sends it in the path of the request. It must not contain a dot, because names of
   * tasks and keys of rows append components after a dot; the schema does not check this.
   */
  id: z.string(),
  queue: z.string(),
  organisation: z.string().optional(),
  payload: z.string(),
  steps: z.array(stepSchema).min(1),
  schedule: scheduleSchema.optional(),
  /** Unix milliseconds. */
  acceptedAt: z.number(),
})

/** A step of a job, as {@link stepSchema} parses it. */
export type Step = z.infer<typeof stepSchema>
/** When the steps of a repeated job run, as {@link scheduleSchema} parses it. */
export type Schedule = z.infer<typeof scheduleSchema>
/** An accepted job, as {@link jobSchema} parses it. */
export type JobDefinition = z.infer<typeof jobSchema>

/** What a submitter sends; acceptance adds the other fields of a {@link JobDefinition}. */
export type JobSubmission = Pick<JobDefinition, 'payload' | 'steps' | 'schedule'>

/**
 * Statuses of a job, as sent to callers. A job is `queued` until a runner has confirmed the start of one
 * of its tasks; a run that is recorded or ordered may never start.
 */
export const jobStatuses = ['queued', 'running', 'completed', 'failed', 'cancelled'] as const

/** One of {@link jobStatuses}. */
export type JobStatus = (typeof jobStatuses)[number]

/** Whether a job with this status has ended. */
export function hasEnded(status: JobStatus): boolean {
  return status === 'completed' || status === 'failed' || status === 'cancelled'
}

/**
 * Returns the estimated length of the critical path through the steps, in milliseconds.
 *
 * @example
 * const latencyObjectiveMs = queue.stretch * criticalPathMs(job.steps) + queue.targetLatencyMs
 */
export function criticalPathMs(
  steps: readonly Step[],
  stepMs: (step: Step, number: number) => number = step => step.estimateMs,
): number {
  const endsAt: number[] = []
  for (const [number, step] of steps.entries()) {
    const startsAt = Math.max(0, ...(step.after ?? []).map(earlier => endsAt[earlier] ?? 0))
    endsAt.push(startsAt + stepMs(step, number))
  }
  return Math.max(0, ...endsAt)
}
