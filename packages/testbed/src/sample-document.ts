import { generateTeamKey, generateOperatorCredential } from '@bulrushbridge/team-keys'
import { stringify } from 'yaml'

/** A runner of the sample document; `address` is `IP:port`. */
export interface SampleRunner {
  id: string
  host: string
  zone: string
  address: string
}

/** A team of the sample document. */
export interface SampleTeam {
  name: string
  /** Weight against the other teams. */
  share: number
  /** Maximum number of requests and tasks that run at the same time. */
  limit: number
}

/** Options of {@link createSampleDocument}. */
export interface SampleDocumentOptions {
  zones: string[]
  teams: SampleTeam[]
  runners: SampleRunner[]
  /** Slots of each runner; 8 by default. */
  slots?: number
  /** Part of the runners that must serve at any time, from 0 to 1; 0.5 by default. */
  minServing?: number
}

/** A document with one service, two queues for each team and an open queue, and its secrets. */
export interface SampleDocument {
  /** The document as YAML. */
  text: string
  /** Keys by team. */
  keys: Record<string, string>
  /** Digests of the keys by key id. */
  digests: Record<string, string>
  /** The operator's credential and its digest. */
  operator: { credential: string; digest: string }
  /** The document as data, from which tests make variants. */
  data: Record<string, unknown>
}

/**
 * Creates a small document for tests. The key of the team `lamps` has the id `lamps-1`, its queue
 * is `lamps` and its job queue of the pool `batch` is `lamps-jobs`; the open queue is `open`.
 *
 * @example
 * const sample = createSampleDocument({ zones: ['a', 'b'], teams, runners })
 */
export function createSampleDocument(opts: SampleDocumentOptions): SampleDocument {
  const operator = generateOperatorCredential('ops')
  const generatedKeys = opts.teams.map(({ name }) => ({
    team: name,
    ...generateTeamKey(`${name}-1`),
  }))
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
    keys: generatedKeys.map(({ team, digest }) => ({ id: `${team}-1`, team, digest })),
    operators: [{ name: 'ops', digest: operator.digest }],
    queues: [
      ...opts.teams.map(({ name }) => ({ name, team: name, service: 'finder' })),
      ...opts.teams.map(({ name }) => ({ name: `${name}-jobs`, team: name, pool: 'batch' })),
      { name: 'open', team: 'open', service: 'finder' },
    ],
  }
  return {
    text: stringify(data),
    keys: Object.fromEntries(generatedKeys.map(({ team, key }) => [team, key])),
    digests: Object.fromEntries(generatedKeys.map(({ team, digest }) => [`${team}-1`, digest])),
    operator,
    data,
  }
}
