import type { z } from 'zod'
import { documentSchema, type EnvironmentDocument } from './document.js'
import { issueMessage, knownFields } from './issue-message.js'
import { normaliseDocument } from './normalise.js'
import { formatPath, PositionedYaml, type Path } from './positions.js'
import { checkDocument } from './rules.js'
import { didYouMean } from './suggest.js'

/** A fault of a document, with its position in the text. */
export interface DocumentFault {
  /** Path of the entry, such as `teams[2].limit`. */
  path: string
  line: number
  column: number
  message: string
}

/** The parsed document in its normal order, or its faults. */
export type ParseResult =
  { ok: true; document: EnvironmentDocument } | { ok: false; faults: DocumentFault[] }

/** The checked document with its warnings, or its faults. */
export type CheckResult =
  | { ok: true; document: EnvironmentDocument; warnings: DocumentFault[] }
  | { ok: false; faults: DocumentFault[]; warnings: DocumentFault[] }

/**
 * Parses the YAML text of an environment's document against its schema.
 *
 * @example
 * const result = parseEnvironment(readFileSync('lumenfit.yaml', 'utf8'))
 * if (!result.ok) for (const fault of result.faults) console.error(fault.line, fault.message)
 */
export function parseEnvironment(text: string): ParseResult {
  const parsed = parseInOrder(new PositionedYaml(text))
  return parsed.ok ? { ok: true, document: normaliseDocument(parsed.document) } : parsed
}

/**
 * Parses the YAML text and checks the rules that go beyond the schema.
 *
 * @example
 * const result = checkEnvironment(text)
 * if (result.ok) promote(documentDigest(result.document))
 */
export function checkEnvironment(text: string): CheckResult {
  const yaml = new PositionedYaml(text)
  const parsed = parseInOrder(yaml)
  if (!parsed.ok) return { ...parsed, warnings: [] }
  const violations = checkDocument(parsed.document)
  const ofSeverity = (severity: string) =>
    violations
      .filter(violation => violation.severity === severity)
      .map(({ path, message }) => toFault(yaml, path, message))
  const [faults, warnings] = [ofSeverity('fault'), ofSeverity('warning')]
  if (faults.length > 0) return { ok: false, faults, warnings }
  return { ok: true, document: normaliseDocument(parsed.document), warnings }
}

/** Keeps the order of the text, because the positions of faults are found by index. */
function parseInOrder(yaml: PositionedYaml): ParseResult {
  const syntax = yaml.errors.map(({ message, position }) => ({ path: '', ...position, message }))
  if (syntax.length > 0) return { ok: false, faults: syntax }
  const value = yaml.toJS()
  const parsed = documentSchema.safeParse(value)
  if (parsed.success) return { ok: true, document: parsed.data }
  return {
    ok: false,
    faults: parsed.error.issues.flatMap(issue => issueFaults(yaml, value, issue)),
  }
}

function issueFaults(
  yaml: PositionedYaml,
  value: unknown,
  issue: z.core.$ZodIssue,
): DocumentFault[] {
  const path = issue.path.filter(part => typeof part !== 'symbol')
  if (issue.code !== 'unrecognized_keys') {
    return [toFault(yaml, path, issueMessage(issue, valueAt(value, path) === undefined))]
  }
  return issue.keys.map(key => ({
    path: formatPath([...path, key]),
    ...yaml.positionOfKey(path, key),
    message: `unknown field '${key}'${didYouMean(key, knownFields(path))}`,
  }))
}

function toFault(yaml: PositionedYaml, path: Path, message: string): DocumentFault {
  return { path: formatPath(path), ...yaml.positionOf(path), message }
}

function valueAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (at, part) =>
      typeof at === 'object' && at !== null ? (at as Record<string, unknown>)[part] : undefined,
    value,
  )
}
