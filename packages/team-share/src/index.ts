export {
  allocate,
  weightWithoutShare,
  type AllocateOptions,
  type Allocation,
  type Demand,
} from './allocate.js'
export {
  dominantShare,
  sortByDominantShare,
  type Resources,
  type TeamUsage,
} from './dominant-share.js'
export {
  createFairQueue,
  type Charge,
  type FairQueue,
  type FairQueueOptions,
} from './fair-queue.js'
export { createFleetShare, type FleetShare, type FleetShareOptions } from './fleet-share.js'
export { createHeapHandle, IndexedHeap, type HeapHandle } from './indexed-heap.js'
export type { TeamDemand } from './demand-reports.js'
