import { entryOf, type ScenarioWorld } from '../scenario-world.js'
import type { Link } from '../link.js'
import type { PeerNetwork } from '../peer-network.js'
import { endAfter } from './faults.js'
import type { Steps } from './registry.js'

async function networkOf(world: ScenarioWorld): Promise<PeerNetwork> {
  const { peerNetwork } = (await world.system()).bed
  if (peerNetwork === undefined) throw new Error('the testbed has no links between entry hosts')
  return peerNetwork
}

/** Links from and to the n-th entry host. */
async function linksOf(world: ScenarioWorld, n: number): Promise<Link[]> {
  return (await networkOf(world)).linksOf(`e${n}`)
}

async function linkBetween(world: ScenarioWorld, from: number, to: number): Promise<Link> {
  return (await networkOf(world)).link(`e${from}`, `e${to}`)
}

async function cutFromPeers(world: ScenarioWorld, n: number): Promise<void> {
  for (const link of await linksOf(world, n)) link.cut()
}

/** Steps that cut the links between entry hosts; a link has a direction. */
export const partitionSteps: Steps = {
  'entry host {int} is cut off from its peers': cutFromPeers,
  'entry host {int} is cut off from its peers for {float} second(s)': async (
    world,
    n: number,
    seconds: number,
  ) => {
    const links = await linksOf(world, n)
    for (const link of links) link.cut()
    endAfter(world, seconds, () => {
      for (const link of links) link.heal()
    })
  },
  'entry host {int} is cut off from its peers and the store': async (world, n: number) => {
    entryOf((await world.system()).bed.entries, n).storeLink.cut()
    await cutFromPeers(world, n)
    world.acceptedAt.set(`cut of e${n}`, performance.now())
  },
  'entry host {int} reaches its peers and the store again': async (world, n: number) => {
    entryOf((await world.system()).bed.entries, n).storeLink.heal()
    for (const link of await linksOf(world, n)) link.heal()
    world.acceptedAt.set(`return of e${n}`, performance.now())
  },
  'the links between entry host {int} and its peers go silent': async (world, n: number) => {
    for (const link of await linksOf(world, n)) link.silence()
  },
  'the link from entry host {int} to entry host {int} is cut': async (
    world,
    from: number,
    to: number,
  ) => {
    const link = await linkBetween(world, from, to)
    link.cut()
  },
  'the link from entry host {int} to entry host {int} goes silent': async (
    world,
    from: number,
    to: number,
  ) => {
    const link = await linkBetween(world, from, to)
    link.silence()
  },
}
