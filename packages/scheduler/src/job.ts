import { z } from 'zod'

const amountsSchema = z.object({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
})

/** A step of a job: `count` equal tasks. */
export const stepSchema = z.object({
  count: z.int().min(1),
  /** What one task takes. */
  amounts: amountsSchema,
  estimateMs: z.number(),
  /** Numbers of earlier steps whose tasks must all be done first. */
  after: z.array(z.int()).optional(),
  savesProgress: z.boolean().optional(),
  /** All tasks work only together, under one run number. */
  isGang: z.boolean().optional(),
  sameRack: z.boolean().optional(),
  /** Label that the runner must have. */
  needs: z.string().optional(),
  /** Rack where the data is. */
  affinityRack: z.string().optional(),
  maxPerRunner: z.int().optional(),
  allowsDuplicates: z.boolean().optional(),
  /** The tasks run until the job is cancelled. */
  isLasting: z.boolean().optional(),
  /** Tail latency that a serving task must stay below, in milliseconds. */
  targetMs: z.number().optional(),
  /** The task takes only processor time that others leave. */
  isFiller: z.boolean().optional(),
  /** Tasks that may be away at once by orders of the system. */
  mayMiss: z.int().optional(),
})

/** When the steps of a job run again. */
export const scheduleSchema = z.object({
  occurrences: z.int().min(1),
  /** Unix milliseconds. */
  firstAt: z.number(),
  intervalMs: z.number(),
})

/** A job as it was accepted; the value of its row in the table `jobs`. */
export const jobSchema = z.object({
  id: z.string(),
  queue: z.string(),
  organisation: z.string().optional(),
  payload: z.string(),
  steps: z.array(stepSchema).min(1),
  schedule: scheduleSchema.optional(),
  /** Unix milliseconds. */
  acceptedAt: z.number(),
})

export type Step = z.infer<typeof stepSchema>
export type Schedule = z.infer<typeof scheduleSchema>
export type Job = z.infer<typeof jobSchema>

/** What a submitter sends; the rest of a {@link Job} is added at its acceptance. */
export type JobRequest = Pick<Job, 'payload' | 'steps' | 'schedule'>

/** States of a job as callers see them. */
export const jobStatuses = ['queued', 'running', 'completed', 'failed', 'cancelled'] as const

export type JobStatus = (typeof jobStatuses)[number]

/** Whether a job has reached its last state. */
export function isFinal(status: JobStatus): boolean {
  return status === 'completed' || status === 'failed' || status === 'cancelled'
}

/**
 * The longest chain of estimated work of the steps, in milliseconds.
 *
 * @example
 * const objectiveMs = queue.stretch * longestChainMs(job.steps) + queue.targetLatencyMs
 */
export function longestChainMs(
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
