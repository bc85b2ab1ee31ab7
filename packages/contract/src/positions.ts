import { isMap, isScalar, LineCounter, parseDocument, type Document } from 'yaml'

/** Path of an entry: names of fields and indexes of lists. */
export type Path = readonly (string | number)[]

/** Place in the text; both count from 1. */
export interface Position {
  line: number
  column: number
}

/** A YAML text and where its nodes are. */
export class PositionedYaml {
  readonly #lines = new LineCounter()
  readonly #yaml: Document.Parsed

  constructor(text: string) {
    this.#yaml = parseDocument(text, { lineCounter: this.#lines })
  }

  /** Errors of the syntax. */
  get errors(): { message: string; position: Position }[] {
    return this.#yaml.errors.map(err => ({
      message: err.message.split('\n')[0]?.replace(/ at line \d+.*$/, '') ?? err.code,
      position: this.#at(err.pos[0]),
    }))
  }

  toJS(): unknown {
    return this.#yaml.toJS()
  }

  /** Position of the value at a path, or of the nearest node around it. */
  positionOf(path: Path): Position {
    for (let depth = path.length; depth > 0; depth--) {
      const node = this.#nodeAt(path.slice(0, depth))
      if (node?.range) return this.#at(node.range[0])
    }
    return this.#at(this.#yaml.contents?.range[0] ?? 0)
  }

  /** Position of a field's name. */
  positionOfKey(path: Path, name: string): Position {
    const parent = path.length === 0 ? this.#yaml.contents : this.#nodeAt(path)
    const pair = isMap(parent)
      ? parent.items.find(item => isScalar(item.key) && String(item.key.value) === name)
      : undefined
    const key = pair?.key
    return isScalar(key) && key.range ? this.#at(key.range[0]) : this.positionOf(path)
  }

  #nodeAt(path: Path): { range?: [number, number, number] | null } | undefined {
    return this.#yaml.getIn(path, true) as { range?: [number, number, number] } | undefined
  }

  #at(offset: number): Position {
    const { line, col } = this.#lines.linePos(offset)
    // An empty text has no line.
    return { line: Math.max(line, 1), column: Math.max(col, 1) }
  }
}

/** Formats a path as `teams[2].limit`. */
export function formatPath(path: Path): string {
  return path
    .map((part, i) => (typeof part === 'number' ? `[${part}]` : `${i === 0 ? '' : '.'}${part}`))
    .join('')
}
