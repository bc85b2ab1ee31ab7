import { measureAllocate } from './allocate-cost.js'
import { measureBurst } from './burst.js'
import { measureCapacity } from './capacity.js'
import { measureDispatch } from './dispatch-overhead.js'
import { measureEnter } from './enter-cost.js'
import type { Measurement } from './figure.js'
import { measureFleetShare } from './fleet-share.js'
import { measureHop } from './hop.js'
import { measureInForce } from './in-force.js'
import { measureNodeOverhead } from './node-overhead.js'
import { measurePermits } from './permits.js'
import { measurePlacement } from './placement-cost.js'
import { measurePolicies } from './policy-figures.js'
import { measureShares } from './share-and-burst.js'

/** All measurements in the order in which they run. */
export const measurements: Measurement[] = [
  {
    name: 'enter-cost',
    run: async ({ quick }) => [
      { name: 'enter-cost', unit: 'us', value: await measureEnter(quick ? 20_000 : 200_000) },
    ],
  },
  {
    name: 'allocate-cost',
    run: ({ quick }) => [
      { name: 'allocate-cost', unit: 'ms', value: measureAllocate(quick ? 50 : 200) },
    ],
  },
  { name: 'dispatch-overhead', run: measureDispatch },
  {
    name: 'permits',
    run: ({ seed, quick }) => measurePermits({ seed, starts: quick ? 100_000 : 1_000_000 }),
  },
  {
    name: 'share-and-burst',
    run: ({ seed, quick }) => measureShares({ seeds: [seed], hosts: quick ? 3 : 9 }),
  },
  { name: 'hop', run: measureHop },
  { name: 'burst', run: measureBurst },
  { name: 'fleet', run: measureFleetShare },
  { name: 'in-force', run: measureInForce },
  { name: 'policy', run: measurePolicies },
  { name: 'node', run: measureNodeOverhead },
  { name: 'capacity', capacity: true, run: measureCapacity },
  { name: 'placement', capacity: true, run: measurePlacement },
]
