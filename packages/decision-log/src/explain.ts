import type { DecisionRecord } from './record.js'

type Phrase = (record: DecisionRecord, observed: (name: string) => string) => string

/** One phrase per rule, which says why the action followed. */
const phrases: Record<string, Phrase> = {
  'team-limit': (_, seen) =>
    `the team already ran ${seen('running')} of the ${seen('limit')} that its upper limit allows`,
  'key-withdrawal': () => 'the key had been withdrawn',
  'zone-out': (_, seen) => `operators had taken zone ${seen('zone')} out of service`,
  'zone-return': (_, seen) => `operators had brought zone ${seen('zone')} back`,
  'view-expired': () => 'the entry host could not confirm that its configuration was current',
  'queue-full': (_, seen) => `${seen('waiting')} requests were already waiting`,
  'deadline-too-short': (_, seen) =>
    `the expected wait of ${seen('waitMs')} ms was longer than the deadline allowed`,
  'consecutive-failures': (_, seen) => `${seen('failures')} requests in a row had failed`,
  'latency-outlier': (_, seen) =>
    `its median latency of ${seen('medianMs')} ms was over 3 times that of its pool`,
  'trial-succeeded': () => 'a trial request had succeeded',
  'silent-connection': () => 'a new connection worked while older ones were silent',
  'availability-budget': (_, seen) =>
    `service ${seen('service')} would have fallen below its availability budget`,
  'wave-unhealthy': (_, seen) => `${seen('unhealthy')} hosts that returned were unhealthy`,
  'pool-demand': (_, seen) => `pool ${seen('pool')} needed capacity for longer than a move costs`,
  'host-listed': (_, seen) => `the platform listed it and pool ${seen('pool')} is its home`,
  'host-changed': () => 'the platform or the document described it differently',
  'host-missing': () => 'the platform had not listed it for 30 s',
  'host-gone': () => 'it had failed and had not been listed for a day',
  'host-empty': () => 'nothing ran on it any more',
  'host-open': () => 'the platform listed it as live',
  'host-recovered': () => 'it had answered as healthy for 30 s after a failure',
  'healthy-return': () => 'it had booted and answered as healthy',
  'unhealthy-return': () => 'it had booted and answered as unhealthy',
  'return-deadline': (_, seen) => `it had not come back by ${seen('backBy')}`,
  'zone-closed': (_, seen) => `its zone ${seen('zone')} was out of service or not fully back`,
  'order-stale': (_, seen) => `the platform knew a higher generation than ${seen('generation')}`,
  'maintenance-due': () => 'maintenance was due and the availability budgets allowed it',
  'wave-halted': (_, seen) =>
    `of ${seen('reasons')} (${seen('unhealthy')} hosts came back unhealthy, ${seen('missing')} did not come back)`,
  'wave-recovered': () => 'the hosts that had halted it were back or removed',
  'wave-returned': () => 'all of its hosts had come back',
  'move-budget': (_, seen) => `pool ${seen('pool')} was short of its availability budget`,
  'move-load': (_, seen) => `pool ${seen('pool')} had lacked capacity for longer than a move costs`,
  'move-give-back': (_, seen) =>
    `pool ${seen('from')} had had a surplus for longer than a move costs`,
  'move-pool-removed': (_, seen) => `pool ${seen('from')} was no longer in the document`,
  'faulty-job': (_, seen) => `the job failed on workers of ${seen('racks')} racks`,
  'faulty-worker': (_, seen) => `jobs of ${seen('teams')} teams failed on the worker`,
  'share-reclaim': (_, seen) =>
    `team ${seen('waitingTeam')} waited below its share while team ${seen('team')} was above its own`,
  'member-failed': () => 'the entry host gave neither an exchange nor a heartbeat for 10 s',
}

/**
 * Says in one plain English sentence what was decided and why.
 *
 * @example
 * explain(record) // 'Action "refuse" was taken on team lamps (2026-01-05T10:00:00.000Z) because ...'
 */
export function explain(record: DecisionRecord): string {
  const observed = (name: string) => {
    const value = record.observed[name]
    return typeof value === 'string' || typeof value === 'number' ? String(value) : 'some'
  }
  const phrase = Object.hasOwn(phrases, record.rule) ? phrases[record.rule] : undefined
  const reason = phrase?.(record, observed) ?? `rule ${record.rule} applied`
  const isJoined = (record.ids?.length ?? 0) > 1
  const subject = isJoined
    ? `several of kind ${record.subject.kind}`
    : `${record.subject.kind} ${record.subject.id}`
  const when = record.count > 1 ? `${record.count} times up to ${record.lastAt}` : record.lastAt
  return `Action "${record.action}" was taken on ${subject} (${when}) because ${reason}.`
}
