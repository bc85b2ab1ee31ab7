import {
  CucumberExpression,
  ParameterType,
  ParameterTypeRegistry,
} from '@cucumber/cucumber-expressions'
import type { ScenarioWorld, Route } from '../scenario-world.js'
import { workKinds, type WorkKind } from '../traffic.js'

/** Runs one step of a scenario with the arguments from its text. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- the step expression determines the argument types
export type StepHandler = (world: ScenarioWorld, ...args: any[]) => Promise<void> | void

/** Step definitions: each maps a Cucumber expression to its handler. */
export type Steps = Record<string, StepHandler>

/** Finds the definitions of steps. */
export interface StepRegistry {
  /**
   * Returns a function that runs the step with the given text.
   *
   * @throws Error when no definition or more than one matches the text.
   */
  find(text: string): (world: ScenarioWorld) => Promise<void> | void
}

const parameterTypes = new ParameterTypeRegistry()
parameterTypes.defineParameterType(
  new ParameterType(
    'work',
    new RegExp(Object.keys(workKinds).join('|')),
    null,
    text => text as WorkKind,
    false,
    false,
  ),
)
parameterTypes.defineParameterType(
  new ParameterType(
    'route',
    /all entry hosts|the load balancer|entry host \d+/,
    null,
    (text): Route => {
      if (text === 'all entry hosts') return 'all'
      return text === 'the load balancer' ? 'balancer' : Number(text.split(' ')[2])
    },
    false,
    false,
  ),
)

/**
 * Creates a registry of the given step definitions.
 *
 * @example
 * const registry = createStepRegistry([systemSteps, faultSteps])
 * await registry.find('the store is down')(world)
 */
export function createStepRegistry(groups: readonly Steps[]): StepRegistry {
  const steps = groups
    .flatMap(group => Object.entries(group))
    .map(([text, handler]) => ({
      expression: new CucumberExpression(text, parameterTypes),
      handler,
    }))
  return {
    find: text => {
      const matches = steps.flatMap(({ expression, handler }) => {
        const args = expression.match(text)
        return args === null ? [] : [{ handler, values: args.map(arg => arg.getValue(null)) }]
      })
      const [match] = matches
      if (match === undefined) throw new Error(`no definition matches the step '${text}'`)
      if (matches.length > 1) throw new Error(`several definitions match the step '${text}'`)
      return world => match.handler(world, ...match.values)
    },
  }
}
