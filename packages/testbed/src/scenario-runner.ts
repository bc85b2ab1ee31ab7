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

/** Conditions of the design page that scenarios prove. */
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

/** Faults of the design page's fault model. */
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

/** Longest run of one feature, in milliseconds; its scenarios run one after another. */
const featureMs = 200_000

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
 * Runs the scenarios of a feature under tap, one test for each. `BULRUSH_SCENARIO` runs only those
 * whose name contains it.
 *
 * @example
 * runFeature(new URL('./zone-out.feature', import.meta.url))
 */
export function runFeature(url: URL): void {
  tap.setTimeout(featureMs)
  const path = fileURLToPath(url)
  const newId = IdGenerator.uuid()
  const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher())
  const feature = parser.parse(readFileSync(path, 'utf8'))
  const shared: { system: ScenarioSystem | undefined } = { system: undefined }
  const wanted = process.env.BULRUSH_SCENARIO ?? ''
  for (const pickle of compile(feature, path, newId)) {
    checkTags(pickle)
    const steps = pickle.steps.map(({ text }) => ({ text, run: registry.find(text) }))
    if (!pickle.name.includes(wanted)) continue
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

/** Every scenario names the one condition that it proves, and only known faults. */
function checkTags(pickle: Pickle): void {
  const tags = tagNames(pickle)
  const conditions = tags.filter(tag => conditionTags.has(tag))
  const unknown = tags.filter(tag => !conditionTags.has(tag) && !faultTags.has(tag))
  if (conditions.length === 1 && unknown.length === 0) return
  throw new Error(
    `'${pickle.name}' must have one condition tag and known fault tags: ${tags.join(' ')}`,
  )
}
