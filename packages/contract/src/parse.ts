import { LineCounter, parseDocument } from 'yaml'
import { documentSchema, type EnvironmentDocument } from './document.js'

/** A fault of a document, with its position in the text. */
export interface DocumentFault {
  /** Path of the entry, such as `teams[2].limit`. */
  path: string
  line: number
  column: number
  message: string
}

/** The parsed document, or its faults. */
export type ParseResult =
  { ok: true; document: EnvironmentDocument } | { ok: false; faults: DocumentFault[] }

/**
 * Parses and checks the YAML text of an environment's document.
 *
 * @example
 * const result = parseEnvironment(readFileSync('lumenfit.yaml', 'utf8'))
 * if (!result.ok) for (const fault of result.faults) console.error(fault.line, fault.message)
 */
export function parseEnvironment(text: string): ParseResult {
  const lines = new LineCounter()
  const yaml = parseDocument(text, { lineCounter: lines })
  const syntax = yaml.errors.map((err): DocumentFault => {
    const { line, col } = lines.linePos(err.pos[0])
    return { path: '', line, column: col, message: err.message }
  })
  if (syntax.length > 0) return { ok: false, faults: syntax }
  const parsed = documentSchema.safeParse(yaml.toJS())
  if (parsed.success) return { ok: true, document: parsed.data }
  const faults = parsed.error.issues.map((issue): DocumentFault => {
    const path = issue.path.filter(part => typeof part !== 'symbol')
    const node = nearestNode(yaml, path)
    const { line, col } = lines.linePos(node)
    return { path: formatPath(path), line, column: col, message: issue.message }
  })
  return { ok: false, faults }
}

function nearestNode(yaml: ReturnType<typeof parseDocument>, path: (string | number)[]): number {
  for (let depth = path.length; depth > 0; depth--) {
    const node = yaml.getIn(path.slice(0, depth), true) as
      { range?: [number, number, number] } | undefined
    if (node?.range) return node.range[0]
  }
  return 0
}

function formatPath(path: (string | number)[]): string {
  return path
    .map((part, i) => (typeof part === 'number' ? `[${part}]` : `${i === 0 ? '' : '.'}${part}`))
    .join('')
}
