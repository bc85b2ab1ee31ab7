import {
  checkEnvironment,
  diffDocument,
  documentDigest,
  parseEnvironment,
  type EnvironmentDocument,
} from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import type { ChangeResult, ConfigView } from '@bulrushbridge/config-view'
import type { OperatorApiOptions } from './operator-api.js'
import { callStore } from './store-call.js'
import { previewPromotion, type TrialResult } from './trial.js'

/** Name of the object that stores a document. */
function documentObjectName(digest: string): string {
  return `documents/${digest}`
}

/** Checks a document and stores it with its trial result, which allows it to be promoted. */
export async function runTrial(opts: OperatorApiOptions, text: string): Promise<TrialResult> {
  const checked = checkEnvironment(text)
  if (!checked.ok) throw new InvalidDocumentError(checked.faults)
  const { document, warnings } = checked
  const result = previewPromotion(
    opts.view.committed(),
    document,
    warnings,
    opts.runningWorkOf ?? (() => undefined),
  )
  // The document is written first, so that each stored trial result has a stored document.
  await callStore(opts.clock, callOpts =>
    opts.objects.put(documentObjectName(result.digest), JSON.stringify(document), callOpts),
  )
  await saveTrialResult(opts, result)
  return result
}

async function saveTrialResult(opts: OperatorApiOptions, result: TrialResult): Promise<void> {
  const { digest } = result
  const writes = [{ table: 'trials', key: digest, value: result }]
  await callStore(opts.clock, callOpts => opts.table.commit({ checks: [], writes }, callOpts))
}

/** Promotes a document that has passed a trial. Repeating the call has no further effect. */
export async function promoteDocument(
  opts: OperatorApiOptions,
  digest: string,
  expectedVersion: number,
  by: string,
): Promise<ChangeResult> {
  const { view } = opts
  const trialResult = await callStore(opts.clock, callOpts =>
    opts.table.read('trials', digest, callOpts),
  )
  if (!trialResult) throw new RequestError('not-proved')
  const document = await loadDocument(opts, digest)
  const committed = view.committed()
  if (committed.documentDigest === digest) return view.reannounce()
  checkExpectedVersion(view, expectedVersion)
  const entries = diffDocument(committed, document)
  try {
    return await view.propose({ kind: 'promote', digest, entries }, { by, expectedVersion })
  } catch (err) {
    // Two concurrent calls with the same document both succeed once either has been committed.
    if (view.committed().documentDigest === digest) return view.reannounce()
    throw err
  }
}

/** Checks the view's version, because the changes of a promotion are computed from the view. */
function checkExpectedVersion(view: ConfigView, expectedVersion: number): void {
  const { version } = view.committed()
  if (version === expectedVersion) return
  const changedBy = view.lastChange()?.by ?? 'another operator'
  const message =
    version < expectedVersion
      ? `This entry host is still at version ${version}; try again in a moment.`
      : `The configuration is at version ${version}, changed by ${changedBy}, not at ${expectedVersion}.`
  throw new RequestError('version-conflict', { message })
}

async function loadDocument(
  opts: OperatorApiOptions,
  digest: string,
): Promise<EnvironmentDocument> {
  const text = await callStore(opts.clock, callOpts =>
    opts.objects.get(documentObjectName(digest), callOpts),
  )
  const parsed = text === undefined ? undefined : parseEnvironment(text)
  if (!parsed?.ok || documentDigest(parsed.document) !== digest) {
    throw new RequestError('not-proved', {
      message: 'The stored document does not match its digest.',
    })
  }
  return parsed.document
}

/** A document has faults. The API responds with `document-invalid` and the list of faults. */
export class InvalidDocumentError extends RequestError {
  readonly faults: unknown[]

  constructor(faults: unknown[]) {
    super('document-invalid')
    this.faults = faults
  }
}
