import { z } from 'zod'
import type { KeyState } from './key-statistics.js'

/** Table in which a dispatcher stores what it has learned. */
export const learnedTable = 'learned'

/** Prefix of the keys of the rows of the run-time model; the number of the row follows. */
export const runTimesPrefix = 'run-times/'

/** Version of the format of the rows; rows of other versions are ignored. */
const formatVersion = 1

/** Most bytes of a row as JSON; the store takes no larger ones. */
export const maxRowBytes = 45_000

/** Bytes of a row beside its keys. */
const rowOverheadBytes = 40

/** A row of {@link learnedTable}. */
export interface LearnedRow {
  key: string
  value: unknown
}

/** A row that was ignored, and why. */
export interface RowProblem {
  key: string
  reason: string
}

/** The statistics of one key of the model. */
export type EncodedKey = KeyState & { key: string }

const finite = z.number().min(-1e6).max(1e6)
const positive = z.number().min(0).max(1e6)

/** Statistics of a key: its name, the five numbers of {@link KeyState}, and the histogram. */
const keySchema = z.tuple([
  z.string().max(200),
  positive,
  finite,
  finite,
  positive,
  finite,
  z.array(positive).max(64),
])

/** The value of a row. */
export const rowSchema = z.object({ version: z.literal(formatVersion), keys: z.array(keySchema) })

const versionSchema = z.object({ version: z.number() })

/** Distributes keys over rows, in their order, so that keys that don't change stay in their row. */
export function encodeRows(keys: readonly EncodedKey[]): LearnedRow[] {
  const rows: z.infer<typeof rowSchema>[] = []
  let bytes = maxRowBytes
  for (const { key, weight, meanX, meanY, sxx, sxy, residuals } of keys) {
    const entry: z.infer<typeof keySchema> = [key, weight, meanX, meanY, sxx, sxy, residuals]
    const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1
    if (bytes + entryBytes > maxRowBytes) {
      rows.push({ version: formatVersion, keys: [] })
      bytes = rowOverheadBytes
    }
    rows.at(-1)?.keys.push(entry)
    bytes += entryBytes
  }
  return rows.map((value, number) => ({ key: `${runTimesPrefix}${number}`, value }))
}

/** Decodes a row that {@link encodeRows} created. */
export function decodeRow({
  key,
  value,
}: LearnedRow): { isValid: true; keys: EncodedKey[] } | { isValid: false; problem: RowProblem } {
  const parsed = rowSchema.safeParse(value)
  if (!parsed.success) {
    const { data } = versionSchema.safeParse(value)
    const isOtherVersion = data !== undefined && data.version !== formatVersion
    const reason = isOtherVersion ? `version ${data.version}` : 'malformed'
    return { isValid: false, problem: { key, reason } }
  }
  return {
    isValid: true,
    keys: parsed.data.keys.map(([name, weight, meanX, meanY, sxx, sxy, residuals]) => ({
      key: name,
      weight,
      meanX,
      meanY,
      sxx,
      sxy,
      residuals,
    })),
  }
}
