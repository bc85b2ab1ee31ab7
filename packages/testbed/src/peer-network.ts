import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createLink, type Link } from './link.js'

/** An entry host as the network knows it. */
interface Node {
  id: string
  host: string
  peerPort: number
}

/** Links between entry hosts, one for each direction in which connections are opened. */
export interface PeerNetwork {
  /** Opens the links to and from a host before it starts; returns the environment it needs. */
  join(node: Node): Promise<Record<string, string>>
  /**
   * The link that carries the calls of one entry host, and of its control program, to another.
   *
   * @throws RangeError when there is none.
   */
  link(from: string, to: string): Link
  /** Links from a host to all others and back. */
  linksOf(id: string): Link[]
  heal(): void
  close(): Promise<void>
}

/**
 * Creates a network without hosts.
 *
 * @example
 * const network = createPeerNetwork()
 * const env = await network.join({ id: 'e1', host: '127.0.1.5', peerPort: 7200 })
 * network.link('e1', 'e2').cut()
 */
export function createPeerNetwork(): PeerNetwork {
  const dir = mkdtempSync(join(tmpdir(), 'bulrush-testbed-'))
  const nodes = new Map<string, Node>()
  const links = new Map<string, Link>()
  const opened: Link[] = []
  const preload = new URL('redirect-peers.mjs', import.meta.url).href

  const open = async (from: Node, to: Node) => {
    const link = await createLink({ host: to.host, target: `${to.host}:${to.peerPort}` })
    opened.push(link)
    links.set(`${from.id}>${to.id}`, link)
  }
  const writeRoutes = (from: Node) => {
    const routes: Record<string, { host: string; port: number }> = {}
    for (const to of nodes.values()) {
      const [host = '', port] = links.get(`${from.id}>${to.id}`)?.address.split(':') ?? []
      if (host !== '') routes[`${to.host}:${to.peerPort}`] = { host, port: Number(port) }
    }
    // Renamed, because the programs read the file at any moment.
    const file = join(dir, `${from.id}.json`)
    writeFileSync(`${file}.new`, JSON.stringify(routes))
    renameSync(`${file}.new`, file)
    return file
  }

  return {
    join: async node => {
      nodes.set(node.id, node)
      const others = [...nodes.values()].filter(({ id }) => id !== node.id)
      for (const other of others) {
        await open(node, other)
        await open(other, node)
        writeRoutes(other)
      }
      return {
        TESTBED_ROUTES: writeRoutes(node),
        NODE_OPTIONS: `${process.env.NODE_OPTIONS ?? ''} --import ${preload}`.trim(),
      }
    },
    link: (from, to) => {
      const link = links.get(`${from}>${to}`)
      if (link === undefined) throw new RangeError(`there is no link from ${from} to ${to}`)
      return link
    },
    linksOf: id =>
      [...links].filter(([name]) => name.split('>').includes(id)).map(([, link]) => link),
    heal: () => {
      for (const link of links.values()) link.heal()
    },
    close: async () => {
      await Promise.all(opened.map(link => link.close()))
      rmSync(dir, { recursive: true })
    },
  }
}
