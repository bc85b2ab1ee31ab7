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
import { storeCall } from './store-call.js'
import { tryDocument, type TrialResult } from './trial.js'

/** Name of a document in the object store. */
function documentName(digest: string): string {
  return `documents/${digest}`
}

/** Checks a document and stores the proof that it may be promoted. */
export async function runTrial(api: OperatorApiOptions, text: string): Promise<TrialResult> {
  const checked = checkEnvironment(text)
  if (!checked.ok) throw new DocumentInvalid(checked.faults)
  const { document, warnings } = checked
  const result = tryDocument(
    api.view.committed(),
    document,
    warnings,
    api.usageOf ?? (() => undefined),
  )
  // The object is written first, so that a proof never names a document that is not stored.
  await storeCall(api.clock, opts =>
    api.objects.put(documentName(result.digest), JSON.stringify(document), opts),
  )
  await saveProof(api, result)
  return result
}

async function saveProof(api: OperatorApiOptions, result: TrialResult): Promise<void> {
  const { digest } = result
  const writes = [{ table: 'trials', key: digest, value: result }]
  await storeCall(api.clock, opts => api.table.commit({ checks: [], writes }, opts))
}

/** Promotes a document that was proved in trial. Repeating it has no further effect. */
export async function promote(
  api: OperatorApiOptions,
  digest: string,
  expectedVersion: number,
  by: string,
): Promise<ChangeResult> {
  const { view } = api
  const proof = await storeCall(api.clock, opts => api.table.read('trials', digest, opts))
  if (!proof) throw new RequestError('not-proved')
  const document = await loadDocument(api, digest)
  const base = view.committed()
  if (base.documentDigest === digest) return view.reannounce()
  checkBase(view, expectedVersion)
  const entries = diffDocument(base, document)
  try {
    return await view.propose({ kind: 'promote', digest, entries }, { by, expectedVersion })
  } catch (err) {
    // The same promotion, sent twice at once, is done when either of them has won.
    if (view.committed().documentDigest === digest) return view.reannounce()
    throw err
  }
}

/** The entries of a promotion are computed from the view, so it must be at the expected version. */
function checkBase(view: ConfigView, expectedVersion: number): void {
  const { version } = view.committed()
  if (version === expectedVersion) return
  const winner = view.lastChange()?.by ?? 'another operator'
  const message =
    version < expectedVersion
      ? `This entry host is still at version ${version}; try again in a moment.`
      : `The configuration is at version ${version}, changed by ${winner}, not at ${expectedVersion}.`
  throw new RequestError('version-conflict', { message })
}

async function loadDocument(api: OperatorApiOptions, digest: string): Promise<EnvironmentDocument> {
  const text = await storeCall(api.clock, opts => api.objects.get(documentName(digest), opts))
  const parsed = text === undefined ? undefined : parseEnvironment(text)
  if (!parsed?.ok || documentDigest(parsed.document) !== digest) {
    throw new RequestError('not-proved', {
      message: 'The stored document does not match its digest.',
    })
  }
  return parsed.document
}

/** The faults of a document, answered as `document-invalid`. */
export class DocumentInvalid extends RequestError {
  readonly faults: unknown[]

  constructor(faults: unknown[]) {
    super('document-invalid')
    this.faults = faults
  }
}
