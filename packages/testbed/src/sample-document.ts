import { generateTeamKey, generateOperatorCredential } from '@bulrushbridge/team-keys'
import { stringify } from 'yaml'

/** A runner as the document lists it. */
export interface SampleRunner {
  id: string
  host: string
  zone: string
  address: string
}

/** A team of the sample document. */
export interface SampleTeam {
  name: string
  share: number
  limit: number
}

/** Options of {@link createSampleDocument}. */
export interface SampleDocumentOptions {
  zones: string[]
  teams: SampleTeam[]
  runners: SampleRunner[]
  slots?: number
  minServing?: number
}

/** A document with one service, one queue for each team and one open queue, with its keys. */
export interface SampleDocument {
  /** YAML of the document. */
  text: string
  /** Key of each team. */
  keys: Record<string, string>
  /** Digests of the keys, by key id. */
  digests: Record<string, string>
  /** The operator's credential and its digest. */
  operator: { credential: string; digest: string }
  /** The document as data, for variants. */
  data: Record<string, unknown>
}

/**
 * Creates a small document for tests. The key of team `lamps` has the id `lamps-1`, its queue is
 * `lamps`, the open queue is `open`, the job queue of the pool `batch` is `lamps-jobs`.
 *
 * @example
 * const sample = createSampleDocument({ zones: ['a', 'b'], teams, runners })
 */
export function createSampleDocument(opts: SampleDocumentOptions): SampleDocument {
  const operator = generateOperatorCredential('ops')
  const generated = opts.teams.map(({ name }) => ({ team: name, ...generateTeamKey(`${name}-1`) }))
  const data = {
    environment: 'test',
    zones: opts.zones,
    pools: [{ name: 'finder' }, { name: 'batch' }, { name: 'reserve', spare: true }],
    services: [
      {
        name: 'finder',
        pool: 'finder',
        slots: opts.slots ?? 8,
        availability: { minServing: opts.minServing ?? 0.5, zoneFailures: 1 },
        runners: opts.runners,
      },
    ],
    teams: opts.teams.map(team => ({ organisation: 'members', ...team })),
    keys: generated.map(({ team, digest }) => ({ id: `${team}-1`, team, digest })),
    operators: [{ name: 'ops', digest: operator.digest }],
    queues: [
      ...opts.teams.map(({ name }) => ({ name, team: name, service: 'finder' })),
      ...opts.teams.map(({ name }) => ({ name: `${name}-jobs`, team: name, pool: 'batch' })),
      { name: 'open', team: 'open', service: 'finder' },
    ],
  }
  return {
    text: stringify(data),
    keys: Object.fromEntries(generated.map(({ team, key }) => [team, key])),
    digests: Object.fromEntries(generated.map(({ team, digest }) => [`${team}-1`, digest])),
    operator,
    data,
  }
}
