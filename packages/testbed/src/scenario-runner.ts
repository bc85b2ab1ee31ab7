import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin'
import { IdGenerator, type Pickle } from '@cucumber/messages'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import tap, { test } from 'tap'
import { closeSystem, type ScenarioSystem } from './scenario-system.js'
import { ScenarioWorld } from './scenario-world.js'
import { callerSteps } from './steps/callers.js'
import { checkSteps } from './steps/checks.js'
import { faultSteps } from './steps/faults.js'
import { jobSteps } from './steps/jobs.js'
import { operatorSteps } from './steps/operators.js'
import { partitionSteps } from './steps/partitions.js'
import { createStepRegistry } from './steps/registry.js'
import { systemSteps } from './steps/system.js'

/** Tags of the conditions on the design page; each scenario tests one of them. */
const conditionTags = new Set([
  '@key-team',
  '@key-withdrawal',
  '@team-limit',
  '@zone-out',
  '@whole-answer',
  '@not-run',
  '@at-most-once',
  '@upstream-shutdown',
  '@planned-stop',
  '@config-in-force',
  '@availability-budget',
])

/** Tags of the faults in the fault model on the design page. */
const faultTags = new Set([
  '@kill',
  '@cut',
  '@freeze',
  '@outage',
  '@race',
  '@silent',
  '@slow',
  '@lost-answer',
])

/** Timeout of one feature, in milliseconds; its scenarios run one after another. */
const featureTimeoutMs = 200_000

const registry = createStepRegistry([
  systemSteps,
  callerSteps,
  operatorSteps,
  faultSteps,
  partitionSteps,
  jobSteps,
  checkSteps,
])

/**
 * Runs each scenario of a feature file as a tap test. When the environment variable
 * `BULRUSH_SCENARIO` is set, only scenarios whose name contains its value run.
 *
 * @throws Error when a scenario has wrong tags or a step without exactly one definition.
 *
 * @example
 * runFeature(new URL('./zone-out.feature', import.meta.url))
 */
export function runFeature(url: URL): void {
  tap.setTimeout(featureTimeoutMs)
  const path = fileURLToPath(url)
  const newId = IdGenerator.uuid()
  const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher())
  const feature = parser.parse(readFileSync(path, 'utf8'))
  const shared: { system: ScenarioSystem | undefined } = { system: undefined }
  const nameFilter = process.env.BULRUSH_SCENARIO ?? ''
  for (const pickle of compile(feature, path, newId)) {
    checkTags(pickle)
    const steps = pickle.steps.map(({ text }) => ({ text, run: registry.find(text) }))
    if (!pickle.name.includes(nameFilter)) continue
    void test(`${pickle.name} ${tagNames(pickle).join(' ')}`, async t => {
      const world = new ScenarioWorld(shared)
      try {
        for (const { text, run } of steps) {
          await Promise.resolve(run(world)).catch((cause: unknown) => {
            throw new Error(`${text}: ${String(cause)}`, { cause })
          })
        }
      } finally {
        await world.close()
      }
      t.pass('all steps passed')
    })
  }
  void test('the system stops', async () => {
    if (shared.system !== undefined) await closeSystem(shared.system)
  })
}

function tagNames(pickle: Pickle): string[] {
  return pickle.tags.map(({ name }) => name)
}

/** Throws unless a scenario has exactly one condition tag and otherwise only known fault tags. */
function checkTags(pickle: Pickle): void {
  const tags = tagNames(pickle)
  const conditions = tags.filter(tag => conditionTags.has(tag))
  const unknownTags = tags.filter(tag => !conditionTags.has(tag) && !faultTags.has(tag))
  if (conditions.length === 1 && unknownTags.length === 0) return
  throw new Error(
    `scenario '${pickle.name}' must have one condition tag and only known fault tags, but has: ${tags.join(' ')}`,
  )
}
