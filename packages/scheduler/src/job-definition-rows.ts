import { z } from 'zod'
import { jobSchema, type JobDefinition } from './job.js'
import { acceptedJobsTable, definitionChunksTable } from './tables.js'

/** Most bytes of a definition that is kept in the row of its job. */
const maxRowDefinitionBytes = 45_000

/** Bytes of a definition in one chunk; a chunk is in base64, and once more as the value of a row. */
const chunkBytes = 33_000

/** Most bytes of the definition of a job as JSON, so that its rows fit into one transaction. */
export const maxDefinitionBytes = 450_000

/** Value of the row of a job whose definition is in chunks. */
const chunkedJobSchema = z.object({ id: z.string(), chunks: z.int().min(1) })

/** A row that holds a definition or a part of it. */
export interface DefinitionRow {
  table: string
  key: string
  value: unknown
}

/**
 * Returns the rows that hold the definition of a job: one in the table of accepted jobs, and for a
 * large definition its chunks. Undefined if it takes more than {@link maxDefinitionBytes}.
 *
 * @example
 * const rows = encodeDefinition(job)
 */
export function encodeDefinition(job: JobDefinition): DefinitionRow[] | undefined {
  const { id } = job
  const text = Buffer.from(JSON.stringify(job))
  if (text.length > maxDefinitionBytes) return undefined
  const row = { table: acceptedJobsTable, key: id }
  if (text.length <= maxRowDefinitionBytes) return [{ ...row, value: job }]
  const chunks: DefinitionRow[] = []
  for (let from = 0; from < text.length; from += chunkBytes) {
    const value = text.subarray(from, from + chunkBytes).toString('base64')
    chunks.push({ table: definitionChunksTable, key: `${id}.${chunks.length}`, value })
  }
  return [{ ...row, value: { id, chunks: chunks.length } }, ...chunks]
}

/** Returns the number of chunks of the definition, if the value of a job's row says so. */
export function chunkCountOf(value: unknown): number | undefined {
  const parsed = chunkedJobSchema.safeParse(value)
  return parsed.success ? parsed.data.chunks : undefined
}

/** Joins the values of the chunks of a definition; undefined if they are not complete. */
export function joinDefinition(chunks: readonly unknown[]): JobDefinition | undefined {
  const texts = chunks.filter(chunk => typeof chunk === 'string')
  if (texts.length < chunks.length) return undefined
  try {
    const text = Buffer.concat(texts.map(chunk => Buffer.from(chunk, 'base64'))).toString('utf8')
    return jobSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
