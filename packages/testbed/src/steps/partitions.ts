import { findEntry, type ScenarioWorld } from '../scenario-world.js'
import type { Link } from '../link.js'
import type { PeerNetwork } from '../peer-network.js'
import { scheduleFaultEnd } from './faults.js'
import type { Steps } from './registry.js'

async function findPeerNetwork(world: ScenarioWorld): Promise<PeerNetwork> {
  const { peerNetwork } = (await world.system()).testbed
  if (peerNetwork === undefined)
    throw new Error('the testbed has no links between entry hosts; set the option peerLinks')
  return peerNetwork
}

/** Returns the links from and to the n-th entry host. */
async function findPeerLinks(world: ScenarioWorld, n: number): Promise<Link[]> {
  return (await findPeerNetwork(world)).findLinks(`e${n}`)
}

async function findPeerLink(world: ScenarioWorld, from: number, to: number): Promise<Link> {
  return (await findPeerNetwork(world)).findLink(`e${from}`, `e${to}`)
}

async function cutFromPeers(world: ScenarioWorld, n: number): Promise<void> {
  for (const link of await findPeerLinks(world, n)) link.cut()
}

/** Steps that cause and end faults of the links between entry hosts; each link has a direction. */
export const partitionSteps: Steps = {
  'entry host {int} is cut off from its peers': cutFromPeers,
  'entry host {int} is cut off from its peers for {float} second(s)': async (
    world,
    n: number,
    seconds: number,
  ) => {
    const links = await findPeerLinks(world, n)
    for (const link of links) link.cut()
    scheduleFaultEnd(world, seconds, () => {
      for (const link of links) link.heal()
    })
  },
  'entry host {int} is cut off from its peers and the store': async (world, n: number) => {
    findEntry((await world.system()).testbed.entries, n).storeLink.cut()
    await cutFromPeers(world, n)
    world.eventTimes.set(`cut of e${n}`, performance.now())
  },
  'entry host {int} is connected to its peers and the store again': async (world, n: number) => {
    findEntry((await world.system()).testbed.entries, n).storeLink.heal()
    for (const link of await findPeerLinks(world, n)) link.heal()
    world.eventTimes.set(`return of e${n}`, performance.now())
  },
  'the links between entry host {int} and its peers go silent': async (world, n: number) => {
    for (const link of await findPeerLinks(world, n)) link.silence()
  },
  'the link from entry host {int} to entry host {int} is cut': async (
    world,
    from: number,
    to: number,
  ) => {
    const link = await findPeerLink(world, from, to)
    link.cut()
  },
  'the link from entry host {int} to entry host {int} goes silent': async (
    world,
    from: number,
    to: number,
  ) => {
    const link = await findPeerLink(world, from, to)
    link.silence()
  },
}
