import type { JobDefinition } from '@bulrushbridge/scheduler'

/**
 * Most bytes that all jobs and runs of a term take, as this module estimates them. The heap of the process
 * in the deploy file has three times as much; the rest is for the program, connections, rows that are being
 * read or written, and garbage.
 */
export const maxJobBytes = 64_000_000

/** Bytes that a job takes beside its text and its steps. */
const jobBytes = 1_500

/** Bytes of a step in the definition of a job. */
const stepDefinitionBytes = 600

/** Bytes of an open occurrence beside its steps. */
const occurrenceBytes = 300

/** Bytes of a step in an open occurrence. */
const openStepBytes = 700

/** Bytes of a run: its task, its allocation, its pending orders and promises, and its row. */
export const runBytes = 2_500

/**
 * How many times the bytes that are left free an organisation may hold before it gets no more for a
 * purpose. Work that goes on comes before work that begins, and that before more occurrences of a job
 * which has one open.
 */
const maxShares = { run: 2, definition: 1, occurrence: 0.5 } as const

/** What memory is taken for. */
export type MemoryPurpose = keyof typeof maxShares

/**
 * Counts the memory that jobs and runs take. No organisation holds so much that nothing is left for the
 * others: its share shrinks with what is left free.
 */
export interface MemoryBudget {
  readonly usedBytes: number
  /** Whether an organisation may take more bytes; the first ones for a purpose need no share. */
  hasRoom(organisation: string, bytes: number, purpose: MemoryPurpose): boolean
  /** Counts bytes as taken, also beyond the budget: work of earlier terms is never left out. */
  take(organisation: string, bytes: number, purpose: MemoryPurpose): void
  release(organisation: string, bytes: number, purpose: MemoryPurpose): void
}

type Holdings = Record<MemoryPurpose, number>

/**
 * Creates the budget of a term.
 *
 * @example
 * const budget = createMemoryBudget()
 * if (budget.hasRoom('member-7', runBytes, 'run')) budget.take('member-7', runBytes, 'run')
 */
export function createMemoryBudget(maxBytes: number = maxJobBytes): MemoryBudget {
  const holdings = new Map<string, Holdings>()
  let used = 0
  const add = (organisation: string, bytes: number, purpose: MemoryPurpose) => {
    const own = holdings.get(organisation) ?? { run: 0, definition: 0, occurrence: 0 }
    own[purpose] += bytes
    used += bytes
    if (sum(own) > 0) holdings.set(organisation, own)
    else holdings.delete(organisation)
  }
  return {
    get usedBytes() {
      return used
    },
    hasRoom: (organisation, bytes, purpose) => {
      const free = maxBytes - used - bytes
      if (free < 0) return false
      const own = holdings.get(organisation)
      if (own === undefined || own[purpose] === 0) return true
      return sum(own) + bytes <= maxShares[purpose] * free
    },
    take: add,
    release: (organisation, bytes, purpose) => {
      add(organisation, -bytes, purpose)
    },
  }
}

/** Estimates the memory of a loaded job with one open occurrence, in bytes. */
export function definitionBytes({ payload, steps }: JobDefinition): number {
  const links = steps.reduce((sum, { after = [] }) => sum + after.length, 0)
  const perStep = stepDefinitionBytes + openStepBytes
  return jobBytes + 2 * payload.length + perStep * steps.length + 8 * links
}

/** Estimates the memory of each further open occurrence of a job, in bytes. */
export function bytesPerOccurrence({ steps }: JobDefinition): number {
  return occurrenceBytes + openStepBytes * steps.length
}

function sum({ run, definition, occurrence }: Holdings): number {
  return run + definition + occurrence
}
