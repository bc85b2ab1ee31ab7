import type { z } from 'zod'
import { documentSchema, type EnvironmentDocument } from './document.js'
import { issueMessage, knownFields } from './issue-message.js'
import { normaliseDocument } from './normalise.js'
import { formatPath, PositionedYaml, type DocumentPath } from './positioned-yaml.js'
import { checkDocument } from './rules.js'
import { spellingSuggestion } from './spelling-suggestion.js'

/** A fault of a document or a warning about it, with its position in the text. */
export interface DocumentDiagnostic {
  /** Path of the entry, such as `teams[2].limit`. */
  path: string
  line: number
  column: number
  message: string
}

/** The parsed and normalised document, or its faults. */
export type ParseResult =
  { ok: true; document: EnvironmentDocument } | { ok: false; faults: DocumentDiagnostic[] }

/** The checked and normalised document with its warnings, or its faults and warnings. */
export type CheckResult =
  | { ok: true; document: EnvironmentDocument; warnings: DocumentDiagnostic[] }
  | { ok: false; faults: DocumentDiagnostic[]; warnings: DocumentDiagnostic[] }

/**
 * Parses the YAML text of an environment's document against its schema.
 *
 * @example
 * const result = parseEnvironment(readFileSync('lumenfit.yaml', 'utf8'))
 * if (!result.ok) for (const fault of result.faults) console.error(fault.line, fault.message)
 */
export function parseEnvironment(text: string): ParseResult {
  const parsed = parseInTextOrder(new PositionedYaml(text))
  return parsed.ok ? { ok: true, document: normaliseDocument(parsed.document) } : parsed
}

/**
 * Parses the YAML text and checks the rules that the schema cannot express.
 *
 * @example
 * const result = checkEnvironment(text)
 * if (result.ok) promote(documentDigest(result.document))
 */
export function checkEnvironment(text: string): CheckResult {
  const yaml = new PositionedYaml(text)
  const parsed = parseInTextOrder(yaml)
  if (!parsed.ok) return { ...parsed, warnings: [] }
  const violations = checkDocument(parsed.document)
  const diagnosticsOf = (severity: string) =>
    violations
      .filter(violation => violation.severity === severity)
      .map(({ path, message }) => toDiagnostic(yaml, path, message))
  const [faults, warnings] = [diagnosticsOf('fault'), diagnosticsOf('warning')]
  if (faults.length > 0) return { ok: false, faults, warnings }
  return { ok: true, document: normaliseDocument(parsed.document), warnings }
}

/** Parses without sorting, because positions of faults are looked up by the index of the entry. */
function parseInTextOrder(yaml: PositionedYaml): ParseResult {
  const syntaxFaults = yaml.errors.map(({ message, position }) => ({
    path: '',
    ...position,
    message,
  }))
  if (syntaxFaults.length > 0) return { ok: false, faults: syntaxFaults }
  const value = yaml.toJS()
  const parsed = documentSchema.safeParse(value)
  if (parsed.success) return { ok: true, document: parsed.data }
  return {
    ok: false,
    faults: parsed.error.issues.flatMap(issue => issueDiagnostics(yaml, value, issue)),
  }
}

function issueDiagnostics(
  yaml: PositionedYaml,
  value: unknown,
  issue: z.core.$ZodIssue,
): DocumentDiagnostic[] {
  const path = issue.path.filter(part => typeof part !== 'symbol')
  if (issue.code !== 'unrecognized_keys') {
    return [toDiagnostic(yaml, path, issueMessage(issue, valueAt(value, path) === undefined))]
  }
  return issue.keys.map(key => ({
    path: formatPath([...path, key]),
    ...yaml.positionOfKey(path, key),
    message: `unknown field '${key}'${spellingSuggestion(key, knownFields(path))}`,
  }))
}

function toDiagnostic(
  yaml: PositionedYaml,
  path: DocumentPath,
  message: string,
): DocumentDiagnostic {
  return { path: formatPath(path), ...yaml.positionOfValue(path), message }
}

function valueAt(value: unknown, path: DocumentPath): unknown {
  return path.reduce<unknown>(
    (parent, part) =>
      typeof parent === 'object' && parent !== null
        ? (parent as Record<string, unknown>)[part]
        : undefined,
    value,
  )
}
