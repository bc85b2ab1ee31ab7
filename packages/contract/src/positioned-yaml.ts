import { isMap, isScalar, LineCounter, parseDocument, type Document } from 'yaml'

/** Path of a value in the document: field names and list indexes. */
export type DocumentPath = readonly (string | number)[]

/** Position in the text. Lines and columns start at 1. */
export interface TextPosition {
  line: number
  column: number
}

/** A parsed YAML text that knows the positions of its nodes. */
export class PositionedYaml {
  readonly #lineCounter = new LineCounter()
  readonly #yaml: Document.Parsed

  constructor(text: string) {
    this.#yaml = parseDocument(text, { lineCounter: this.#lineCounter })
  }

  /** Syntax errors of the text. */
  get errors(): { message: string; position: TextPosition }[] {
    return this.#yaml.errors.map(err => ({
      message: err.message.split('\n')[0]?.replace(/ at line \d+.*$/, '') ?? err.code,
      position: this.#toPosition(err.pos[0]),
    }))
  }

  toJS(): unknown {
    return this.#yaml.toJS()
  }

  /** Position of the value at a path, or of its nearest ancestor that is in the text. */
  positionOfValue(path: DocumentPath): TextPosition {
    for (let depth = path.length; depth > 0; depth--) {
      const node = this.#nodeAt(path.slice(0, depth))
      if (node?.range) return this.#toPosition(node.range[0])
    }
    return this.#toPosition(this.#yaml.contents?.range[0] ?? 0)
  }

  /** Position of the name of a field of the map at a path. */
  positionOfKey(path: DocumentPath, name: string): TextPosition {
    const parent = path.length === 0 ? this.#yaml.contents : this.#nodeAt(path)
    const pair = isMap(parent)
      ? parent.items.find(item => isScalar(item.key) && String(item.key.value) === name)
      : undefined
    const key = pair?.key
    return isScalar(key) && key.range ? this.#toPosition(key.range[0]) : this.positionOfValue(path)
  }

  #nodeAt(path: DocumentPath): { range?: [number, number, number] | null } | undefined {
    return this.#yaml.getIn(path, true) as { range?: [number, number, number] } | undefined
  }

  #toPosition(offset: number): TextPosition {
    const { line, col } = this.#lineCounter.linePos(offset)
    // An empty text has no lines, so its position is reported as line 1, column 1.
    return { line: Math.max(line, 1), column: Math.max(col, 1) }
  }
}

/** Formats a path as `teams[2].limit`. */
export function formatPath(path: DocumentPath): string {
  return path
    .map((part, i) => (typeof part === 'number' ? `[${part}]` : `${i === 0 ? '' : '.'}${part}`))
    .join('')
}
