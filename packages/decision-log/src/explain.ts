import type { DecisionRecord } from './record.js'

type ReasonPhrase = (record: DecisionRecord, observed: (name: string) => string) => string

/** The reason for the action, as the end of a sentence, by rule. */
const reasonPhrases: Record<string, ReasonPhrase> = {
  'team-limit': (_, observed) =>
    `the team already ran ${observed('running')} of the ${observed('limit')} that its upper limit allows`,
  'key-withdrawal': () => 'the key had been withdrawn',
  'zone-out': (_, observed) => `operators had taken zone ${observed('zone')} out of service`,
  'zone-return': (_, observed) => `operators had brought zone ${observed('zone')} back`,
  'view-expired': () => 'the entry host could not confirm that its configuration was current',
  'queue-full': (_, observed) => `${observed('waiting')} requests were already waiting`,
  'deadline-too-short': (_, observed) =>
    `the expected wait of ${observed('waitMs')} ms was longer than the deadline allowed`,
  'consecutive-failures': (_, observed) => `${observed('failures')} requests in a row had failed`,
  'latency-outlier': (_, observed) =>
    `its median latency of ${observed('medianMs')} ms was over 3 times that of its pool`,
  'trial-succeeded': () => 'a trial request had succeeded',
  'silent-connection': () => 'a new connection worked while older ones were silent',
  'availability-budget': (_, observed) =>
    `service ${observed('service')} would have fallen below its availability budget`,
  'wave-unhealthy': (_, observed) => `${observed('unhealthy')} hosts that returned were unhealthy`,
  'pool-demand': (_, observed) =>
    `pool ${observed('pool')} needed capacity for longer than a move costs`,
  'host-listed': (_, observed) => `the platform listed it and pool ${observed('pool')} is its home`,
  'host-changed': () => 'the platform or the document described it differently',
  'host-missing': () => 'the platform had not listed it for 30 s',
  'host-gone': () => 'it had failed and had not been listed for a day',
  'host-empty': () => 'nothing ran on it any more',
  'host-open': () => 'the platform listed it as live',
  'host-recovered': () => 'it had answered as healthy for 30 s after a failure',
  'healthy-return': () => 'it had booted and answered as healthy',
  'unhealthy-return': () => 'it had booted and answered as unhealthy',
  'return-deadline': (_, observed) => `it had not come back by ${observed('backBy')}`,
  'zone-closed': (_, observed) =>
    `its zone ${observed('zone')} was out of service or not fully back`,
  'order-stale': (_, observed) =>
    `the platform knew a higher generation than ${observed('generation')}`,
  'maintenance-due': () => 'maintenance was due and the availability budgets allowed it',
  'wave-halted': (_, observed) =>
    `of ${observed('reasons')} (${observed('unhealthy')} hosts came back unhealthy, ${observed('missing')} did not come back)`,
  'wave-recovered': () => 'the hosts that had halted it were back or removed',
  'wave-returned': () => 'all of its hosts had come back',
  'move-budget': (_, observed) => `pool ${observed('pool')} was short of its availability budget`,
  'move-load': (_, observed) =>
    `pool ${observed('pool')} had lacked capacity for longer than a move costs`,
  'move-give-back': (_, observed) =>
    `pool ${observed('from')} had had a surplus for longer than a move costs`,
  'move-pool-removed': (_, observed) => `pool ${observed('from')} was no longer in the document`,
  'faulty-job': (_, observed) => `the job failed on workers of ${observed('racks')} racks`,
  'faulty-worker': (_, observed) => `jobs of ${observed('teams')} teams failed on the worker`,
  'share-reclaim': (_, observed) =>
    `team ${observed('waitingTeam')} waited below its share while team ${observed('team')} was above its own`,
  'member-failed': () => 'the entry host gave neither an exchange nor a heartbeat for 10 s',
}

/**
 * Describes in one English sentence what was decided and why.
 *
 * @example
 * explain(record) // 'Action "refuse" was taken on team lamps (2026-01-05T10:00:00.000Z) because ...'
 */
export function explain(record: DecisionRecord): string {
  const observed = (name: string) => {
    const value = record.observed[name]
    return typeof value === 'string' || typeof value === 'number' ? String(value) : 'some'
  }
  const phrase = Object.hasOwn(reasonPhrases, record.rule) ? reasonPhrases[record.rule] : undefined
  const reason = phrase?.(record, observed) ?? `rule ${record.rule} applied`
  const isJoined = (record.ids?.length ?? 0) > 1
  const subject = isJoined
    ? `several of kind ${record.subject.kind}`
    : `${record.subject.kind} ${record.subject.id}`
  const when = record.count > 1 ? `${record.count} times up to ${record.lastAt}` : record.lastAt
  return `Action "${record.action}" was taken on ${subject} (${when}) because ${reason}.`
}
