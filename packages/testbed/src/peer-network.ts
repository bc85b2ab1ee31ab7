import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createLink, type Link } from './link.js'

/** An entry host in the network; `host` is its IP address. */
interface PeerHost {
  id: string
  host: string
  peerPort: number
}

/** Links between entry hosts: for each pair of hosts, one link for each direction. */
export interface PeerNetwork {
  /**
   * Opens the links to and from a host, before it starts; returns the environment variables that
   * its programs need to use them.
   */
  join(peerHost: PeerHost): Promise<Record<string, string>>
  /**
   * Returns the link that carries the calls of one entry host, and of its control program, to
   * another.
   *
   * @throws RangeError when there is no such link.
   */
  findLink(from: string, to: string): Link
  /** Returns the links from a host to all others and from them to it. */
  findLinks(id: string): Link[]
  /** Ends the faults of all links. */
  heal(): void
  close(): Promise<void>
}

/**
 * Creates a network that has no hosts yet.
 *
 * @example
 * const network = createPeerNetwork()
 * const env = await network.join({ id: 'e1', host: '127.0.1.5', peerPort: 7200 })
 * network.findLink('e1', 'e2').cut()
 */
export function createPeerNetwork(): PeerNetwork {
  const dir = mkdtempSync(join(tmpdir(), 'bulrush-testbed-'))
  const peerHosts = new Map<string, PeerHost>()
  const links = new Map<string, Link>()
  const openedLinks: Link[] = []
  const preloadUrl = new URL('redirect-peers.mjs', import.meta.url).href

  const openLink = async (from: PeerHost, to: PeerHost) => {
    const link = await createLink({ host: to.host, target: `${to.host}:${to.peerPort}` })
    openedLinks.push(link)
    links.set(`${from.id}>${to.id}`, link)
  }
  const writeRoutes = (from: PeerHost) => {
    const routes: Record<string, { host: string; port: number }> = {}
    for (const to of peerHosts.values()) {
      const [host = '', port] = links.get(`${from.id}>${to.id}`)?.address.split(':') ?? []
      if (host !== '') routes[`${to.host}:${to.peerPort}`] = { host, port: Number(port) }
    }
    // The rename replaces the file atomically, because the programs may read it at any time.
    const file = join(dir, `${from.id}.json`)
    writeFileSync(`${file}.new`, JSON.stringify(routes))
    renameSync(`${file}.new`, file)
    return file
  }

  return {
    join: async peerHost => {
      peerHosts.set(peerHost.id, peerHost)
      const others = [...peerHosts.values()].filter(({ id }) => id !== peerHost.id)
      for (const other of others) {
        await openLink(peerHost, other)
        await openLink(other, peerHost)
        writeRoutes(other)
      }
      return {
        TESTBED_ROUTES: writeRoutes(peerHost),
        NODE_OPTIONS: `${process.env.NODE_OPTIONS ?? ''} --import ${preloadUrl}`.trim(),
      }
    },
    findLink: (from, to) => {
      const link = links.get(`${from}>${to}`)
      if (link === undefined) throw new RangeError(`there is no link from ${from} to ${to}`)
      return link
    },
    findLinks: id =>
      [...links].filter(([name]) => name.split('>').includes(id)).map(([, link]) => link),
    heal: () => {
      for (const link of links.values()) link.heal()
    },
    close: async () => {
      await Promise.all(openedLinks.map(link => link.close()))
      rmSync(dir, { recursive: true })
    },
  }
}
