import { measureAllocateCost } from './allocate-cost.js'
import { measureBurst } from './burst.js'
import { measureCapacitySlopes } from './capacity.js'
import { measureDispatchOverhead } from './dispatch-overhead.js'
import { measureEnterCost } from './enter-cost.js'
import { measureClientLimits } from './client-limits.js'
import type { Measurement } from './figure.js'
import { measureFleetShare } from './fleet-share.js'
import { measureHopCost } from './hop.js'
import { measureInForceDelay } from './in-force.js'
import { measureJobSizes } from './job-size.js'
import { measureNodeOverhead } from './node-overhead.js'
import { measurePermits } from './permits.js'
import { measurePlacementCost } from './placement-cost.js'
import { measurePolicies } from './policy-figures.js'
import { measureShares } from './share-and-burst.js'

/** All measurements, in the order in which the bench program runs them. */
export const measurements: Measurement[] = [
  {
    name: 'enter-cost',
    run: async ({ quick }) => [
      { name: 'enter-cost', unit: 'us', value: await measureEnterCost(quick ? 20_000 : 200_000) },
    ],
  },
  {
    name: 'allocate-cost',
    run: ({ quick }) => [
      { name: 'allocate-cost', unit: 'ms', value: measureAllocateCost(quick ? 50 : 200) },
    ],
  },
  { name: 'dispatch-overhead', run: measureDispatchOverhead },
  {
    name: 'permits',
    run: ({ seed, quick }) => measurePermits({ seed, starts: quick ? 100_000 : 1_000_000 }),
  },
  {
    name: 'share-and-burst',
    run: ({ seed, quick }) => measureShares({ seeds: [seed], hosts: quick ? 3 : 9 }),
  },
  { name: 'hop', run: measureHopCost },
  { name: 'client-limits', run: measureClientLimits },
  { name: 'burst', run: measureBurst },
  { name: 'fleet', run: measureFleetShare },
  { name: 'in-force', run: measureInForceDelay },
  { name: 'policy', run: measurePolicies },
  { name: 'node', run: measureNodeOverhead },
  { name: 'capacity', isForCapacityPage: true, run: measureCapacitySlopes },
  { name: 'job-size', isForCapacityPage: true, run: measureJobSizes },
  { name: 'placement', isForCapacityPage: true, run: measurePlacementCost },
]
